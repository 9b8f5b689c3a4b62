import random
import unittest

import cbor2
from lacewingrudder_core import messages as m
from lacewingrudder_core.clock import HybridTime
from lacewingrudder_core.notes import Evacuations, ZoneAction, ZoneOrder
from lacewingrudder_core.types import Endpoint, Member
from lacewingrudder_wire.codec import Envelope, decode, encode
from lacewingrudder_wire.exceptions import CodecError

TIME = HybridTime(1_800_000_000_000, 3)
MEMBER = Member("entry-1", "adum", 7, Endpoint(1, 2), Endpoint(3, 4))
PING = m.Ping(9, MEMBER, 5, 6, 7, (m.MemberUpdate(MEMBER, m.MemberStatus.SUSPECT),))


class CodecTest(unittest.TestCase):
    def test_message_round_trip(self) -> None:
        self.assertEqual(decode(encode(Envelope(TIME, PING))), Envelope(TIME, PING))

    def test_malformed_messages_raise_only_codec_errors(self) -> None:
        good = encode(Envelope(TIME, PING))
        rng = random.Random(1)
        for _ in range(3000):
            data = bytearray(good)
            for _ in range(rng.randint(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            try:
                decode(bytes(data[: rng.randint(0, len(data))]))
            except CodecError:
                continue

    def test_fields_are_checked_against_their_types(self) -> None:
        wrong = (
            [1, 0, 62, [1]],
            [1, 0, 62, ["1", "entry-1"]],
            [1, 0, 62, [True, "entry-1"]],
            [1, 0, 999, []],
            [1.5, 0, 62, [1, "entry-1"]],
            {"tag": 62},
            [1, 0, 64, [[[list(MEMBER), 17]]]],
        )
        for value in wrong:
            with self.subTest(value), self.assertRaises(CodecError):
                decode(cbor2.dumps(value))

    def test_endpoints_out_of_range_are_rejected(self) -> None:
        for bad in ((-1, 80), (1 << 32, 80), (1, 0), (1, -1), (1, 1 << 16), (1 << 64, 1)):
            member = MEMBER._replace(data=Endpoint(*bad))
            with self.subTest(bad), self.assertRaises(CodecError):
                decode(encode(Envelope(TIME, PING._replace(member=member))))

    def test_zone_order_and_evacuations_round_trip(self) -> None:
        order = m.SubmitZoneOrder(ZoneOrder("suame", ZoneAction.EVACUATE))
        part = m.SnapshotPart(3, 4, 0, 1, (), (), Evacuations(3, ("suame",)))
        for body in (order, part):
            self.assertEqual(decode(encode(Envelope(TIME, body))).body, body)

    # Guards against status and snapshots that hosts of an earlier release reject, or the reverse:
    # they have one field less.
    def test_messages_without_evacuations_are_those_of_earlier_releases(self) -> None:
        bodies = (
            m.SnapshotPart(3, 4, 0, 1, (), ()),
            m.Status(3, "c1", True, (), (), (), ()),
            m.PeerStatusReply(1, 3, "c1", ()),
        )
        for body in bodies:
            encoded = encode(Envelope(TIME, body))
            *_, fields = cbor2.loads(encoded)
            self.assertEqual(len(fields), len(body) - 1)
            self.assertEqual(decode(encoded).body, body)
