import unittest

from lacewingrudder_core.chart import Chart


class ChartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.chart = Chart(
            {"initial": "off", "states": {"off": {"on": {"press": "on"}}, "on": {"on": {}}}}
        )

    def test_named_event_changes_the_state(self) -> None:
        self.assertEqual(self.chart.next("off", "press"), ("on", True))

    def test_other_event_changes_nothing(self) -> None:
        self.assertEqual(self.chart.next("on", "press"), ("on", False))

    def test_unknown_state_is_refused(self) -> None:
        with self.assertRaisesRegex(ValueError, "gone"):
            Chart({"initial": "off", "states": {"off": {"on": {"press": "gone"}}}})
