"""The evacuated zones as lacewingrudderd reports them: log lines, timeline events and metrics."""

import unittest
from unittest import mock

from lacewingrudder_core.notes import Catalogue, Evacuations
from lacewingrudder_daemon.evacuation_log import EvacuationLog
from lacewingrudder_daemon.metrics import ProcessMetrics
from prometheus_client import generate_latest


class EvacuationLogTest(unittest.TestCase):
    def test_changes_are_reported_once_each(self) -> None:
        events = mock.Mock()
        log = EvacuationLog(events, "evacuations_in_force")
        with self.assertLogs("lacewingrudder_daemon.evacuation_log", "INFO") as lines:
            for evacuations in (
                Evacuations(),
                Evacuations(3, ("adum", "suame")),
                Evacuations(3, ("adum", "suame")),
                Evacuations(5),
            ):
                log.record(evacuations)
        expected = [
            mock.call("evacuations_in_force", revision=3, detail="evacuated zones: adum, suame"),
            mock.call("evacuations_in_force", revision=5, detail="evacuated zones: none"),
        ]
        self.assertEqual(events.record.call_args_list, expected)
        self.assertIn("at revision 3: evacuated zones: adum, suame", lines.output[0])


class MetricsTest(unittest.TestCase):
    def test_metrics_name_the_evacuated_zones(self) -> None:
        evacuations = Evacuations(3, ("suame",))
        hub = mock.MagicMock(bytes_sent=0, linked_host_count=0, dropped_message_count=0)
        core = mock.Mock(
            evacuations=evacuations,
            flow_count=0,
            pin_count=0,
            revision=3,
            member_count=1,
            serving_target_count=0,
        )
        entry = mock.Mock(
            core=core, ejected_target_count=0, rejected_announcement_count=0, drops={}, verdicts={}
        )
        catalogue = Catalogue(3, evacuations=evacuations)
        replica = mock.Mock(catalogue=catalogue, role="leader", state=mock.Mock(term=1))
        control = mock.Mock(core=mock.Mock(replica=replica, catalogue=catalogue))
        text = generate_latest(ProcessMetrics(hub, entry, control).registry).decode()
        self.assertIn('lwr_zone_evacuated{zone="suame"} 1.0', text)
        self.assertIn('lwr_control_zone_evacuated{zone="suame"} 1.0', text)
