import unittest

from lacewingrudder_core.replica import DiscoveredVoters
from lacewingrudder_daemon._fleet.control_peers import CONTROL_EXPIRY_SECONDS, ControlPeers

SELF, SEED, OTHER = "10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720"


class ControlPeersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.peers = ControlPeers(SELF, DiscoveredVoters((SEED,), True))

    def test_seeds_are_polled_and_this_host_is_not(self) -> None:
        self.peers.add((SELF,))
        self.assertEqual(self.peers.others, [SEED])

    def test_host_seen_recently_is_polled_and_announced(self) -> None:
        self.peers.mark_seen(OTHER, 1.0)
        self.assertEqual(self.peers.others, [SEED, OTHER])
        self.assertEqual(self.peers.hosts_to_announce((), 2.0), {SELF, OTHER})
        self.assertEqual(self.peers.hosts_to_announce((), 1.0 + CONTROL_EXPIRY_SECONDS), {SELF})

    def test_unresponsive_voters_are_announced(self) -> None:
        self.assertEqual(self.peers.hosts_to_announce((OTHER,), 100.0), {SELF, OTHER})

    def test_removed_host_is_neither_polled_nor_announced(self) -> None:
        self.peers.mark_seen(OTHER, 1.0)
        self.peers.retain((SEED,))
        self.assertEqual(self.peers.others, [SEED])
        self.assertEqual(self.peers.hosts_to_announce((), 1.0), {SELF})


if __name__ == "__main__":
    unittest.main()
