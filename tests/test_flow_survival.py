"""Flows during a graceful shutdown, a kill and a restart of entry hosts, in separate processes."""

import time
import unittest

from standins.firms import ASANTE_BOATENG
from standins.fleet import Fleet
from standins.loads import load

FABRIC = {"loss": 0.002, "duplicate": 0.01, "reorder": 0.02}
RESPONSE_TIMEOUT_SECONDS = 15.0
BROKEN_OUTCOMES = ("reset", "silent", "wrong", "unconnected")


class FlowSurvivalTest(unittest.TestCase):
    def test_no_flow_breaks_during_a_shutdown_a_kill_and_a_restart(self) -> None:
        proofdesk = ASANTE_BOATENG.services[0]
        with Fleet(ASANTE_BOATENG, entries=4, controls=1, fabric=FABRIC) as fleet:
            fleet.start()
            loads = [
                load(
                    proofdesk,
                    kind.name,
                    rate=6.0,
                    duration=6.0,
                    requests=6,
                    pause=0.5,
                    patience=RESPONSE_TIMEOUT_SECONDS,
                )
                for kind in proofdesk.kinds
            ]
            callers = fleet.start_callers(loads)
            time.sleep(1.5)
            stopped, killed = fleet.hosts[3], fleet.hosts[2]
            fleet.set_fabric_hosts(fleet.hosts[:3])
            fleet.stop(stopped)
            fleet.kill(killed)
            time.sleep(0.5)
            fleet.set_fabric_hosts(fleet.hosts[:2])
            fleet.start_host(stopped)
            time.sleep(1.0)
            fleet.set_fabric_hosts([*fleet.hosts[:2], stopped])
            results = callers.results(60.0)
        broken = [result for result in results if result["outcome"] in BROKEN_OUTCOMES]
        self.assertEqual(broken, [])
        self.assertEqual(len(results), 72)
        done = [result for result in results if result["outcome"] == "done"]
        self.assertGreater(
            len(done), 60, "too many flows were refused for the check to be meaningful"
        )
