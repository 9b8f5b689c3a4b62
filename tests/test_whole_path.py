import unittest

from standins.firms import ASANTE_BOATENG
from standins.fleet import Fleet
from standins.loads import load


class WholePathTest(unittest.TestCase):
    def test_every_flow_gets_its_complete_answer_through_any_host(self) -> None:
        fabric = {"loss": 0.005, "duplicate": 0.01, "reorder": 0.02}
        with Fleet(ASANTE_BOATENG, entries=3, controls=1, fabric=fabric) as fleet:
            fleet.start()
            loads = [
                load(service, kind.name, duration=2.0)
                for service in ASANTE_BOATENG.services
                for kind in service.kinds
            ]
            results = fleet.start_callers(loads).results(30.0)
        self.assertEqual([r for r in results if r["outcome"] != "done"], [])
        self.assertEqual(len(results), 120)
