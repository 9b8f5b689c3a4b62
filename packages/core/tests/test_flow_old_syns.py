"""Flows with homes: hosts that were paused forward SYNs of flows that were opened seconds ago."""

import unittest

from flow_session import SERVICE
from lacewingrudder_core import flows
from lacewingrudder_core.types import Endpoint
from test_flow_schedules import CALLER_ISN, REQUEST_BYTES, STEP_COUNT, Schedule, target_isn

SEEDS = range(40)
FAILING_SEEDS = (125, 179, 196, 209)
"""Found among the seeds up to 450; see KNOWN-RED.txt."""

OLD_SYN_SHARE = 0.3


class OldSynSchedule(Schedule):
    """A schedule in which SYNs of open flows arrive once more, at any host."""

    def pass_time(self, seconds: float) -> None:
        super().pass_time(seconds)
        for caller in list(self.callers.values()):
            if caller.is_connected and self.rng.random() < OLD_SYN_SHARE:
                syn = flows.Segment(caller.source, SERVICE, flows.SYN, CALLER_ISN, 0, 0)
                self.deliver_segment(self.rng.choice(sorted(self.cores)), syn)

    def _receive_at_target(self, end: Endpoint, segment: flows.Segment) -> None:
        """Answer the SYN of a flow that is open here with its numbers (RFC 5961, 4.2)."""
        served = self.target_flows.get((end, segment.source.port))
        if segment.flags & flows.SYN and served:
            seq = target_isn(end) + 1 + served * REQUEST_BYTES
            return self._send_answer(end, segment, flows.ACK, seq, 0)
        return super()._receive_at_target(end, segment)


class OldSynTest(unittest.TestCase):
    # Guards against open flows that are reset, or whose requests reach another target.
    def test_old_syns_change_nothing_for_open_flows(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(OldSynSchedule(seed))

    def test_old_syns_in_schedules_that_failed(self) -> None:
        for seed in FAILING_SEEDS:
            with self.subTest(seed=seed):
                self.play(OldSynSchedule(seed))

    def play(self, schedule: OldSynSchedule) -> None:
        unanswered = 0
        for port in range(5000, 5000 + STEP_COUNT):
            if schedule.rng.random() < 0.2:
                schedule.change_cluster()
            schedule.open(port)
            caller = schedule.rng.choice(list(schedule.callers.values()))
            if caller.is_connected:
                unanswered += not schedule.request(caller)
            schedule.pass_time(schedule.rng.random())
        self.assertEqual(schedule.violations, [])
        self.assertEqual(unanswered, 0)
