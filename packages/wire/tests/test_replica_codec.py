import unittest
from typing import Any

from lacewingrudder_core import replica as r
from lacewingrudder_core._control.submissions import MAX_NOTE_WEIGHT
from lacewingrudder_core._replica.log import (
    LogEntry,
    LogSnapshot,
    ReplicaId,
    join_snapshot,
    note_weight,
    split_snapshot,
)
from lacewingrudder_core.clock import HybridTime
from lacewingrudder_core.notes import Catalogue, Note, NoteReceipt, SubmitReply, SubmitTag
from lacewingrudder_core.replica import DurableState, Write
from lacewingrudder_core.types import Kind, OrderAction, Service, TargetOrder
from lacewingrudder_wire.codec import (
    MAX_MESSAGE_BYTES,
    Envelope,
    decode,
    encode,
)
from lacewingrudder_wire.values import decode_value, encode_value

TIME = HybridTime(1, 2)
VOTER = ReplicaId("c1", "identity")
HEADER = r.Header("cluster", VOTER, "other", 3)
ORDER = TargetOrder("10.0.0.1:80", OrderAction.DRAIN)


def service(number: int) -> Service:
    kinds = tuple(Kind(f"kind-{port}", port, 9, True, 0.1) for port in range(1, 9))
    return Service(f"service-{number}".ljust(60, "x"), number, "k" * 60, kinds)


NOTE = Note(1, 0, (service(1),), (), ("gone",), "d" * 64)
ENTRIES = (LogEntry(1, 1, voters=(VOTER,)), LogEntry(2, 1, NOTE), LogEntry(3, 2, order=ORDER))


class ReplicaCodecTest(unittest.TestCase):
    def test_every_message_round_trip(self) -> None:
        part = split_snapshot(LogSnapshot(3, 2, (VOTER,), Catalogue(2, (service(1),), (ORDER,))))[0]
        bodies: list[Any] = [
            r.PreVoteRequest(HEADER, 1, 2),
            r.PreVoteReply(HEADER, True),
            r.VoteRequest(HEADER, 1, 2, True),
            r.VoteReply(HEADER, False),
            r.AppendRequest(HEADER, 0.5, 0, 0, ENTRIES, 1),
            r.AppendReply(HEADER, 0.5, True, 3),
            r.SnapshotRequest(HEADER, 0.5, part),
            r.SnapshotReply(HEADER, 0.5, 3, 1),
            r.LeadershipTransfer(HEADER),
            r.LeaveRequest(HEADER),
            r.LeaveReply(HEADER),
            r.JoinRequest(VOTER, ""),
            r.JoinReply(VOTER, "cluster", "echo"),
            r.BootstrapCluster("cluster", (VOTER,)),
            r.DiskLost(VOTER, "former"),
            r.ForwardRequest(1, NOTE, None),
            r.ForwardRequest(1, None, ORDER),
            r.ForwardReply(1, SubmitReply(SubmitTag.UNKNOWN, 2, "lost")),
        ]
        for body in bodies:
            with self.subTest(type(body).__name__):
                self.assertEqual(decode(encode(Envelope(TIME, body))).body, body)

    def test_disk_state_and_writes_round_trip(self) -> None:
        snapshot = LogSnapshot(3, 2, (VOTER,), Catalogue(1, (), (), (NoteReceipt(1, "d", 1),)))
        state = DurableState("identity", "cluster", 4, "vote", 3, snapshot, ENTRIES)
        write = Write(7, "cluster", 4, "", 3, ENTRIES, snapshot)
        self.assertEqual(decode_value(DurableState, encode_value(state)), state)
        self.assertEqual(decode_value(Write, encode_value(write)), write)

    def test_largest_accepted_note_fits_into_a_message(self) -> None:
        kind = Kind("k" * 63, 65535, 9, False, 0.123456789)
        one = Service("s" * 63, 2**32 - 1, "k" * 256, (kind,))
        note = NOTE._replace(added=(one,) * (MAX_NOTE_WEIGHT // 2 - 1))
        self.assertLessEqual(note_weight(note), MAX_NOTE_WEIGHT)
        body = r.AppendRequest(HEADER, 0.5, 0, 0, (LogEntry(1, 1, note),), 1)
        self.assertLess(len(encode(Envelope(TIME, body))), MAX_MESSAGE_BYTES)

    def test_large_snapshot_is_split_below_the_message_limit(self) -> None:
        services = tuple(service(number) for number in range(3000))
        receipts = tuple(NoteReceipt(number, "d" * 64, number) for number in range(10_000))
        snapshot = LogSnapshot(9, 2, (VOTER,), Catalogue(7, services, (ORDER,) * 3000, receipts))
        parts = split_snapshot(snapshot)
        sizes = [
            len(encode(Envelope(TIME, r.SnapshotRequest(HEADER, 0.0, part)))) for part in parts
        ]
        self.assertLess(max(sizes), MAX_MESSAGE_BYTES / 2)
        self.assertEqual(join_snapshot(parts), snapshot)
