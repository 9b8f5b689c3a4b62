"""The disks of control hosts are full for some seconds each, one after another, never two at once.

At most one disk is full at any moment, so changes must be accepted all the time.
"""

import itertools
import random
import unittest
from unittest import mock

from lacewingrudder_core import replica as e
from lacewingrudder_core._replica import state as replica_state
from lacewingrudder_core.notes import SubmitTag
from replica_cluster import TICK_SECONDS, Cluster, Host

ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 5.0
"""Within this time, resent as long as it has no clear answer, each change has to be accepted."""

RESEND_SECONDS = 1.0
CONVERGENCE_SECONDS = 3.0
"""Fifteen heartbeats, in which all hosts apply what is committed after the last disk has room."""


class Operator:
    """Submits one configuration after another, each until it is accepted."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._version = 0
        self._began_at = cluster.now
        self._tokens: list[int] = []
        self._sent_at = float("-inf")
        self.longest_wait = 0.0

    def step(self) -> None:
        """Check the answers, then submit the current configuration again if none is clear."""
        cluster = self._cluster
        replies = [cluster.replies[token] for token in self._tokens if token in cluster.replies]
        self.longest_wait = max(self.longest_wait, cluster.now - self._began_at)
        if any(reply.tag is SubmitTag.ACCEPTED for reply in replies):
            self._version += 1
            self._tokens, self._sent_at, self._began_at = [], float("-inf"), cluster.now
        leader = cluster.leader()
        answered = len(replies) == len(self._tokens)
        if leader and (answered or cluster.now - self._sent_at >= RESEND_SECONDS):
            self._sent_at = cluster.now
            self._tokens.append(cluster.propose_configuration(leader, self._version))


class FullDisksTest(unittest.TestCase):
    def run_for(self, cluster: Cluster, operator: Operator, seconds: float) -> None:
        end = cluster.now + seconds
        while cluster.now < end:
            cluster.run(TICK_SECONDS)
            for host in cluster.hosts.values():
                if host.disk_fails:
                    cluster.persist(host)
            operator.step()

    def fill(self, cluster: Cluster, operator: Operator, host: Host, seconds: float) -> None:
        host.disk_fails = True
        self.run_for(cluster, operator, seconds)
        host.disk_fails = False

    def check(self, size: int, seeds: int, order: list[str], full: float, pause: float) -> None:
        cluster = Cluster(size, 1, seeds)
        cluster.elect()
        cluster.run(5.0)
        operator = Operator(cluster)
        for name in order:
            host = cluster.hosts[name]
            self.fill(cluster, operator, host, full)
            self.run_for(cluster, operator, pause)
        self.run_for(cluster, operator, CONVERGENCE_SECONDS)
        self.assertLess(operator.longest_wait, ACKNOWLEDGEMENT_TIMEOUT_SECONDS)
        cluster.settle()
        applied = {host.core.state.commit_index for host in cluster.hosts.values()}
        self.assertEqual(len(applied), 1, applied)
        roles = {host.core.role for host in cluster.hosts.values()}
        self.assertLessEqual(roles, {e.Role.LEADER, e.Role.FOLLOWER})

    def test_every_order_of_few_hosts(self) -> None:
        for size in (3, 4):
            names = [f"c{number}" for number in range(1, size + 1)]
            for order in itertools.permutations(names):
                for full, pause in ((4.0, 0.0), (2.0, 0.5), (6.0, 1.0), (12.0, 0.0)):
                    with self.subTest(order=order, full=full, pause=pause):
                        self.check(size, 3, list(order), full, pause)

    def test_random_orders_of_more_hosts(self) -> None:
        rng = random.Random(1)
        for size, seed in itertools.product((5, 6), range(20)):
            order = rng.choices([f"c{number}" for number in range(1, size + 1)], k=2 * size)
            with self.subTest(size=size, seed=seed, order=order):
                full, pause = rng.uniform(0.5, 6.0), rng.choice([0.0, 0.1, 1.0])
                self.check(size, 3, order, full, pause)

    def test_disks_fill_while_snapshots_are_taken(self) -> None:
        with (
            mock.patch.object(replica_state, "COMPACT_AFTER_ENTRIES", 5),
            mock.patch.object(replica_state, "KEPT_ENTRY_COUNT", 1),
        ):
            for order in itertools.permutations(["c1", "c2", "c3", "c4"]):
                with self.subTest(order=order):
                    self.check(4, 3, list(order), 4.0, 0.3)


if __name__ == "__main__":
    unittest.main()
