import unittest
from unittest import mock

from lacewingrudder_core._flows.use import UseBook
from lacewingrudder_core._routing.loads import LoadTracker
from lacewingrudder_core.types import FlowKey

KEY = FlowKey(1, 2, 3, 443)


class AdoptedFlowTest(unittest.TestCase):
    def test_adopted_flow_says_nothing_of_its_targets_answer_times(self) -> None:
        loads = LoadTracker()
        uses = UseBook(mock.Mock(), loads)
        route = mock.Mock(service="proofdesk")
        use, _ = uses.opened(route, KEY, "t", 0.0)
        uses.caller_sent(use, 0.0)
        uses.target_sent(use, 1.0)
        before = loads.answer_times.estimate("t", 1.0)
        for port in range(10):
            uses.adopted(route, KEY._replace(caller_port=port), "t", 1.0)
        self.assertEqual(loads.answer_times.estimate("t", 1.0), before)

    def test_adopted_flow_counts_as_open_and_idle(self) -> None:
        loads = LoadTracker()
        admission = mock.Mock()
        UseBook(admission, loads).adopted(mock.Mock(service="proofdesk"), KEY, "t", 0.0)
        self.assertEqual(loads.load("t"), (1, 0))
        admission.record_idle.assert_called_once()
