import unittest

from lacewingrudder_core.replica import DiscoveredVoters
from lacewingrudder_daemon._fleet.contacts import CONTROL_KEPT_SECONDS, ControlContacts

SELF, SEED, OTHER = "10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720"


class ControlContactsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.contacts = ControlContacts(SELF, DiscoveredVoters((SEED,), True))

    def test_seeds_are_polled_and_this_host_is_not(self) -> None:
        self.contacts.learn((SELF,))
        self.assertEqual(self.contacts.others, [SEED])

    def test_host_that_is_heard_is_polled_and_told_to_others_for_a_time(self) -> None:
        self.contacts.hear(OTHER, 1.0)
        self.assertEqual(self.contacts.others, [SEED, OTHER])
        self.assertEqual(self.contacts.known((), 2.0), {SELF, OTHER})
        self.assertEqual(self.contacts.known((), 1.0 + CONTROL_KEPT_SECONDS), {SELF})

    def test_voters_are_told_to_others_also_when_silent(self) -> None:
        self.assertEqual(self.contacts.known((OTHER,), 100.0), {SELF, OTHER})

    def test_forgotten_host_is_neither_polled_nor_told(self) -> None:
        self.contacts.hear(OTHER, 1.0)
        self.contacts.forget((SEED,))
        self.assertEqual(self.contacts.others, [SEED])
        self.assertEqual(self.contacts.known((), 1.0), {SELF})


if __name__ == "__main__":
    unittest.main()
