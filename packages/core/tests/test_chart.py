import unittest

from lacewingrudder_core.chart import StateChart
from lacewingrudder_core.replica import Role
from replica_chart import replica_chart


class ChartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.chart = StateChart(
            {"initial": "off", "states": {"off": {"on": {"press": "on"}}, "on": {"on": {}}}}
        )

    def test_named_event_changes_the_state(self) -> None:
        self.assertEqual(self.chart.next("off", "press"), ("on", True))

    def test_other_event_changes_nothing(self) -> None:
        self.assertEqual(self.chart.next("on", "press"), ("on", False))

    def test_unknown_state_is_refused(self) -> None:
        with self.assertRaisesRegex(ValueError, "gone"):
            StateChart({"initial": "off", "states": {"off": {"on": {"press": "gone"}}}})


class ReplicaChartTest(unittest.TestCase):
    def test_roles_are_the_states_of_the_chart(self) -> None:
        self.assertEqual(replica_chart().states, frozenset(Role))
