import unittest

from lacewingrudder_core._propagation.status_queries import (
    ANSWER_TIMEOUT_SECONDS,
    MAX_CONTACT_AGE_SECONDS,
    StatusQueries,
)
from lacewingrudder_core.messages import ControlStatus, HostStatus, PeerStatusReply


def reply(number: int, revision: int, *hosts: HostStatus, leader: str = "c1") -> PeerStatusReply:
    return PeerStatusReply(number, revision, leader, hosts)


def host(number: int, revision: int, age: float = 0.5) -> HostStatus:
    return HostStatus(f"entry-{number}", "adum", revision, age)


class StatusQueriesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.queries = StatusQueries("c1", ["c1", "c2", "c3"])
        self.queries.set_expected_hosts(["entry-1", "entry-2"])

    def collect(self, own: PeerStatusReply, **replies: PeerStatusReply):
        number = self.queries.start(7, own, 0.0).number
        for sender, answer in replies.items():
            self.queries.record_reply(sender, answer._replace(number=number))
        finished = self.queries.pop_finished(0.0) or self.queries.pop_finished(
            ANSWER_TIMEOUT_SECONDS
        )
        self.assertEqual(finished[0].token, 7)
        return finished[0].status

    def test_entry_hosts_of_all_control_hosts_are_listed(self) -> None:
        status = self.collect(reply(0, 3, host(1, 3)), c2=reply(0, 3, host(2, 2)), c3=reply(0, 3))
        self.assertEqual([entry.name for entry in status.hosts], ["entry-1", "entry-2"])
        self.assertEqual(status.missing, ("entry-2",))

    def test_newest_acknowledgement_of_a_host_counts(self) -> None:
        old, new = host(1, 2, age=4.0), host(1, 3, age=0.1)
        status = self.collect(reply(0, 3, old), c2=reply(0, 3, new), c3=reply(0, 3, host(2, 3)))
        self.assertEqual(status.missing, ())

    def test_unresponsive_host_has_not_confirmed(self) -> None:
        unresponsive = host(1, 3, age=MAX_CONTACT_AGE_SECONDS + 1)
        status = self.collect(reply(0, 3, unresponsive, host(2, 3)), c2=reply(0, 3), c3=reply(0, 3))
        self.assertEqual(status.missing, ("entry-1",))

    def test_expected_host_that_never_subscribed_is_named(self) -> None:
        status = self.collect(reply(0, 3, host(1, 3)), c2=reply(0, 3), c3=reply(0, 3))
        self.assertEqual(status.unheard, ("entry-2",))

    def test_control_host_that_does_not_answer_is_named_after_a_bounded_wait(self) -> None:
        self.queries.start(7, reply(0, 3), 0.0)
        self.assertEqual(self.queries.pop_finished(ANSWER_TIMEOUT_SECONDS / 2), [])
        status = self.collect(reply(0, 3), c2=reply(0, 3))
        self.assertIn(ControlStatus("c3", None), status.controls)

    def test_partitioned_host_is_compared_with_the_newest_revision(self) -> None:
        own = reply(0, 2, host(1, 2), leader="")
        status = self.collect(own, c2=reply(0, 5, host(2, 5)), c3=reply(0, 5))
        self.assertEqual((status.revision, status.accepting), (5, False))
        self.assertEqual(status.missing, ("entry-1",))

    def test_unexpected_host_without_contact_for_hours_is_not_listed(self) -> None:
        gone = host(9, 1, age=7200.0)
        status = self.collect(reply(0, 3, gone), c2=reply(0, 3), c3=reply(0, 3))
        self.assertEqual(status.hosts, ())
