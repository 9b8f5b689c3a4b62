import time
import unittest

from standins.firms import ASANTE_BOATENG
from standins.fleet import Fleet
from standins.loads import load

MAX_WITHDRAWAL_SECONDS = 3.0


class WithdrawOrderTest(unittest.TestCase):
    def test_withdrawn_target_keeps_its_flows_and_gets_no_new_ones_after_three_seconds(
        self,
    ) -> None:
        service = ASANTE_BOATENG.services[0]
        with Fleet(ASANTE_BOATENG, entries=3, controls=1) as fleet:
            fleet.start()
            target = fleet.target_names(service)[0]
            long_flows = load(service, "screens", rate=40.0, duration=1.5, requests=12, pause=0.6)
            before = fleet.start_callers([long_flows])
            time.sleep(2.5)
            ordered_at = time.monotonic()
            self.assertEqual(fleet.run_lwr("withdraw", target).returncode, 0)
            time.sleep(max(0.0, ordered_at + MAX_WITHDRAWAL_SECONDS - time.monotonic()))
            after = fleet.start_callers([load(service, "screens", rate=40.0, duration=3.0)])
            late, early = after.results(30.0), before.results(30.0)
        for results in (early, late):
            self.assertEqual([r for r in results if r["outcome"] != "done"], [])
        self.assertIn(target, {result["target"] for result in early})
        self.assertGreater(len(late), 100)
        self.assertNotIn(target, {result["target"] for result in late})
