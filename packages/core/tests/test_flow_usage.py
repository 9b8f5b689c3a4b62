import unittest
from unittest import mock

from lacewingrudder_core._flows.usage import UsageTracker
from lacewingrudder_core._routing.loads import LoadTracker
from lacewingrudder_core.types import FlowKey

KEY = FlowKey(1, 2, 3, 443)


class AdoptedFlowTest(unittest.TestCase):
    def test_adopted_flow_does_not_change_its_targets_response_time(self) -> None:
        loads = LoadTracker()
        usage_tracker = UsageTracker(mock.Mock(), loads)
        route = mock.Mock(service="proofdesk")
        usage, _ = usage_tracker.record_opened(route, KEY, "t", 0.0)
        usage_tracker.record_request(usage, 0.0)
        usage_tracker.record_response(usage, 1.0)
        before = loads.answer_times.estimate("t", 1.0)
        for port in range(10):
            usage_tracker.record_adopted(route, KEY._replace(caller_port=port), "t", 1.0)
        self.assertEqual(loads.answer_times.estimate("t", 1.0), before)

    def test_adopted_flow_counts_as_open_and_idle(self) -> None:
        loads = LoadTracker()
        admission = mock.Mock()
        UsageTracker(admission, loads).record_adopted(mock.Mock(service="proofdesk"), KEY, "t", 0.0)
        self.assertEqual(loads.load("t"), (1, 0))
        admission.record_idle.assert_called_once()
