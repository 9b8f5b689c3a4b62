import collections
import random
import unittest
from typing import Any

from lacewingrudder_core import replica as m
from lacewingrudder_core._control.submissions import MAX_NOTE_WEIGHT, OperatorAnswer, Submissions
from lacewingrudder_core.control import (
    Committed,
    ControlCore,
    ForwardMessageReceived,
    OperatorRequestReceived,
    Reply,
)
from lacewingrudder_core.messages import (
    ConfigurationReply,
    OperatorReply,
    ReadConfiguration,
    Status,
    StatusRequest,
    SubmitConfiguration,
    SubmitNote,
    SubmitOrder,
)
from lacewingrudder_core.notes import Note, StoredConfiguration, SubmitReply, SubmitTag
from lacewingrudder_core.replica import DurableState, ReplicaCore, StaticVoters
from lacewingrudder_core.types import OrderAction, TargetOrder
from replica_cluster import CHART, make_note

NAMES = ["c1", "c2", "c3"]
FORWARDED = (m.ForwardRequest, m.ForwardReply, m.ReadRequest, m.ReadReply)


class ControlHosts:
    """Three simulated control hosts whose writes become durable at once."""

    def __init__(self) -> None:
        self.now = 0.0
        self.disks = {name: DurableState(f"{name}-1") for name in NAMES}
        self.cores = {name: self._core(name) for name in NAMES}
        self.messages: collections.deque[tuple[str, str, Any]] = collections.deque()
        self.isolated: set[str] = set()
        self.delayed_types: tuple[type[Any], ...] = ()
        self.delayed: list[tuple[str, str, Any]] = []
        self.answers: dict[int, Any] = {}
        self.committed: dict[str, list[int]] = collections.defaultdict(list)
        self._token = 0

    def _core(self, name: str, start: int = 0) -> ControlCore:
        replica = ReplicaCore(
            name, StaticVoters(NAMES), CHART, self.disks[name], random.Random(name)
        )
        return ControlCore(name, replica, first_number=1 + 1000 * start)

    def restart(self, name: str) -> None:
        """Start a host again; what the others sent to it before may still arrive."""
        self.cores[name] = self._core(name, start=1)

    def deliver_delayed(self) -> None:
        self.delayed_types = ()
        self.messages.extend(self.delayed)
        self.settle()

    def pass_event(self, name: str, event: Any) -> None:
        for effect in self.cores[name].handle(event, self.now):
            match effect:
                case m.Persist(write):
                    self.disks[name] = self.disks[name].after(write)
                    self.pass_event(name, m.Persisted(write.number))
                case m.SendToReplica(host, message):
                    self.messages.append((name, host, message))
                case Reply(token, body):
                    assert token not in self.answers
                    self.answers[token] = body
                case Committed(change):
                    self.committed[name].append(change.revision)

    def settle(self) -> None:
        while self.messages:
            sender, receiver, message = self.messages.popleft()
            if self.isolated & {sender, receiver}:
                continue
            if isinstance(message, self.delayed_types):
                self.delayed.append((sender, receiver, message))
                continue
            is_forward = isinstance(message, FORWARDED)
            event_type = ForwardMessageReceived if is_forward else m.ReplicaMessageReceived
            self.pass_event(receiver, event_type(sender, message))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            for name in NAMES:
                self.pass_event(name, m.Tick())
            self.settle()

    def request(self, name: str, request: Any) -> int:
        self._token += 1
        self.pass_event(name, OperatorRequestReceived(self._token, request))
        return self._token

    def reply(self, token: int) -> SubmitReply:
        body = self.answers[token]
        assert isinstance(body, OperatorReply)
        return body.reply

    def status(self, name: str) -> Status:
        status = self.answers[self.request(name, StatusRequest())]
        assert isinstance(status, Status)
        return status


class ControlTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hosts = ControlHosts()
        self.hosts.run(5.0)
        self.leader = self.hosts.status("c1").leader
        self.follower, self.other = (name for name in NAMES if name != self.leader)

    def submit(self, name: str, note: Note) -> SubmitReply:
        token = self.hosts.request(name, SubmitNote(note))
        self.hosts.settle()
        return self.hosts.reply(token)

    def test_every_host_names_the_same_leader(self) -> None:
        statuses = [self.hosts.status(name) for name in NAMES]
        self.assertEqual({(s.leader, s.accepting) for s in statuses}, {(self.leader, True)})

    def test_note_at_a_follower_is_committed_on_all(self) -> None:
        reply = self.submit(self.follower, make_note(1, 0))
        self.hosts.run(0.5)
        self.assertEqual(reply, SubmitReply(SubmitTag.ACCEPTED, 1, ""))
        self.assertEqual(dict(self.hosts.committed), {name: [1] for name in NAMES})

    def test_one_of_two_concurrent_notes_with_the_same_number_is_accepted(self) -> None:
        tokens = [
            self.hosts.request(name, SubmitNote(make_note(1, 0, f"from {name}")))
            for name in (self.follower, self.other)
        ]
        self.hosts.settle()
        tags = sorted(self.hosts.reply(token).tag for token in tokens)
        self.assertEqual(tags, [SubmitTag.ACCEPTED, SubmitTag.CONFLICT])
        self.hosts.run(0.5)
        self.assertEqual(self.hosts.status(self.leader).revision, 1)

    def test_lost_answer_is_unknown_and_resending_settles_it(self) -> None:
        note = make_note(1, 0)
        token = self.hosts.request(self.follower, SubmitNote(note))
        sender, receiver, message = self.hosts.messages.popleft()
        self.hosts.pass_event(receiver, ForwardMessageReceived(sender, message))
        self.hosts.isolated = {self.follower}
        self.hosts.run(10.0)
        self.assertEqual(self.hosts.reply(token).tag, SubmitTag.UNKNOWN)
        self.assertEqual(self.submit(self.other, note), SubmitReply(SubmitTag.ACCEPTED, 1, ""))

    def test_request_forwarded_to_a_leader_that_dies_is_sent_to_the_next(self) -> None:
        tokens = [
            self.hosts.request(name, SubmitNote(make_note(number, 0)))
            for number, name in enumerate((self.follower, self.other), start=1)
        ]
        self.hosts.isolated = {self.leader}
        self.hosts.run(4.0)
        tags = sorted(self.hosts.reply(token).tag for token in tokens)
        self.assertEqual(tags, [SubmitTag.ACCEPTED, SubmitTag.CONFLICT])

    def test_refusal_of_a_request_that_went_to_two_leaders_is_unknown(self) -> None:
        submissions = Submissions()
        step = submissions.start(7, SubmitNote(make_note(1, 0)), "c1", "c2", 0, 0.0)
        assert isinstance(step, m.SendToReplica) and isinstance(step.message, m.ForwardRequest)
        self.assertEqual(submissions.redirect("c1", "c2"), [])
        self.assertEqual(submissions.redirect("c1", "c3"), [step._replace(host="c3")])
        answer = submissions.complete(
            step.message.number, SubmitReply(SubmitTag.REFUSED, 0, "full")
        )
        self.assertEqual(answer, OperatorAnswer(7, SubmitReply(SubmitTag.UNKNOWN, 0, "full")))

    def test_partitioned_host_reports_it_and_refuses(self) -> None:
        self.hosts.isolated = {self.leader}
        early = self.hosts.request(self.leader, SubmitNote(make_note(1, 0)))
        self.hosts.run(10.0)
        late = self.submit(self.leader, make_note(2, 0))
        self.assertEqual(self.hosts.reply(early).tag, SubmitTag.UNKNOWN)
        self.assertEqual(late, SubmitReply(SubmitTag.REFUSED, 0, "no quorum"))
        status = self.hosts.status(self.leader)
        self.assertEqual((status.leader, status.accepting), ("", False))
        self.assertTrue(self.hosts.status(self.follower).accepting)

    def test_order_sent_again_gets_the_same_answer(self) -> None:
        order = SubmitOrder(TargetOrder("10.0.0.1:80", OrderAction.WITHDRAW))
        replies = []
        for name in NAMES:
            token = self.hosts.request(name, order)
            self.hosts.settle()
            replies.append(self.hosts.reply(token))
        self.assertEqual(set(replies), {SubmitReply(SubmitTag.ACCEPTED, 1, "")})

    def test_invalid_note_names_field_and_reason(self) -> None:
        note = make_note(1, 0)._replace(withdrawn=("gone",))
        reply = self.submit(self.follower, note)
        self.assertEqual(reply.tag, SubmitTag.INVALID)
        self.assertEqual(reply.detail, "withdrawn[0]: there is no service gone")

    def test_note_too_large_for_a_message_is_refused_at_once(self) -> None:
        note = make_note(1, 0)
        large = note._replace(added=note.added * MAX_NOTE_WEIGHT)
        reply = self.submit(self.follower, large)
        self.assertEqual(reply.tag, SubmitTag.INVALID)
        self.assertIn("too large", reply.detail)


class ConfirmedTest(unittest.TestCase):
    def test_nothing_leaves_before_its_write_is_durable(self) -> None:
        replica = ReplicaCore(
            "c1", StaticVoters(["c1"]), CHART, DurableState("c1-1"), random.Random(1)
        )
        core = ControlCore("c1", replica)
        writes = [eff for eff in core.handle(m.Tick(), 0.0) if isinstance(eff, m.Persist)]
        core.handle(m.Persisted(writes[-1].write.number), 0.0)
        effects = core.handle(m.Tick(), 0.1)
        effects += core.handle(OperatorRequestReceived(1, SubmitNote(make_note(1, 0))), 0.1)
        self.assertFalse([eff for eff in effects if isinstance(eff, Reply | Committed)])
        for _ in range(4):
            last = max(eff.write.number for eff in effects if isinstance(eff, m.Persist))
            effects = [*effects, *core.handle(m.Persisted(last), 0.2)]
        self.assertIn(Reply(1, OperatorReply(SubmitReply(SubmitTag.ACCEPTED, 1, ""))), effects)


class ConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.controls = ControlHosts()
        self.controls.run(5.0)
        self.leader = next(
            name
            for name, core in self.controls.cores.items()
            if core.replica.leader(self.controls.now) == name
        )
        self.follower = next(name for name in NAMES if name != self.leader)

    def submit(self, name: str, version: int, document: bytes = b"") -> SubmitReply:
        request = SubmitConfiguration(StoredConfiguration(version, document))
        token = self.controls.request(name, request)
        self.controls.run(0.5)
        return self.controls.reply(token)

    def read(self, name: str) -> ConfigurationReply:
        token = self.controls.request(name, ReadConfiguration())
        self.controls.run(1.0)
        body = self.controls.answers[token]
        assert isinstance(body, ConfigurationReply)
        return body

    def test_highest_version_is_in_force_whatever_comes_after(self) -> None:
        for version in (3, 7, 5):
            self.assertIs(self.submit(self.follower, version).tag, SubmitTag.ACCEPTED)
        for name in NAMES:
            reply = self.read(name)
            assert reply.configuration is not None
            self.assertEqual((reply.is_newest, reply.configuration.version), (True, 7))

    def test_other_content_under_the_same_version_changes_nothing(self) -> None:
        self.submit(self.leader, 3, b"first")
        self.assertIs(self.submit(self.follower, 3, b"second").tag, SubmitTag.ACCEPTED)
        self.assertEqual(self.read(self.follower).configuration, StoredConfiguration(3, b"first"))

    def test_superseded_configuration_is_accepted_without_a_leader(self) -> None:
        self.submit(self.leader, 3)
        self.controls.isolated = set(NAMES)
        self.controls.run(3.0)
        self.assertIs(self.submit(self.follower, 2).tag, SubmitTag.ACCEPTED)
        self.assertIs(self.submit(self.follower, 4).tag, SubmitTag.REFUSED)

    def test_late_answer_to_a_submission_before_a_restart_accepts_no_other_one(self) -> None:
        self.controls.delayed_types = (m.ForwardReply,)
        self.controls.request(self.follower, SubmitConfiguration(StoredConfiguration(8, b"")))
        self.controls.settle()
        self.assertEqual(len(self.controls.delayed), 1)
        self.controls.restart(self.follower)
        self.controls.run(0.5)
        self.controls.delayed_types += (m.ForwardRequest,)
        request = SubmitConfiguration(StoredConfiguration(9, b""))
        token = self.controls.request(self.follower, request)
        self.controls.settle()
        self.controls.delayed = self.controls.delayed[:1]
        self.controls.deliver_delayed()
        self.assertNotIn(token, self.controls.answers)

    def test_late_answer_to_a_read_before_a_restart_confirms_no_other_one(self) -> None:
        self.submit(self.leader, 3)
        self.controls.delayed_types = (m.ReadReply,)
        self.controls.request(self.follower, ReadConfiguration())
        self.controls.settle()
        self.controls.restart(self.follower)
        self.controls.run(3.0)
        self.assertEqual(len(self.controls.delayed), 1)
        self.controls.delayed_types += (m.ReadRequest,)
        token = self.controls.request(self.follower, ReadConfiguration())
        self.controls.settle()
        self.controls.delayed = self.controls.delayed[:1]
        self.controls.deliver_delayed()
        self.assertNotIn(token, self.controls.answers)

    def test_isolated_leader_confirms_no_read(self) -> None:
        self.submit(self.leader, 3)
        self.controls.isolated = {self.leader}
        self.assertFalse(self.read(self.leader).is_newest)

    def test_read_at_a_follower_without_a_leader_is_not_the_newest(self) -> None:
        self.controls.isolated = {self.follower}
        self.controls.run(3.0)
        self.assertFalse(self.read(self.follower).is_newest)
