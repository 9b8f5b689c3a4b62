"""Malformed input: a control host and an entry host survive it and go on serving."""

import random
import unittest
from typing import Any
from unittest.mock import Mock

from entry_fakes import (
    CONTROL,
    SERVICE,
    configure,
    make_entry_process,
    receive_packet,
    target_entry,
)
from lacewingrudder_core import checkins
from lacewingrudder_core.checkins import (
    ConfigurationUpdate,
    LifeState,
    Lifetime,
    Position,
    SilenceQuery,
    SilenceReport,
    Subscription,
    TargetEntry,
    Update,
    ZonePeerCounts,
)
from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon._fleet.control import CONTROL_MESSAGES
from lacewingrudder_daemon._fleet.message_socket import MessageSocket
from lacewingrudder_wire.datagram_codec import MessageCodec
from lacewingrudder_wire.exceptions import CodecError

ENTRY = "10.1.0.10:7720"
UNUSABLE_NAMES = ("", "x", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:70000", "a b:1", "10.0.0.9:seven")


class MessageSocketTest(unittest.TestCase):
    def test_messages_to_unusable_host_names_are_dropped_and_reported(self) -> None:
        events = Mock()
        socket = MessageSocket(CONTROL_MESSAGES, events, Mock())
        for name in UNUSABLE_NAMES:
            with self.subTest(name=name):
                socket.send(name, ConfigurationUpdate(1, b""))
                self.assertEqual(events.record.call_args.args, ("message_undeliverable",))

    def test_failure_to_handle_a_message_is_reported(self) -> None:
        events = Mock()
        on_message = Mock(side_effect=LookupError("no such index"))
        socket = MessageSocket(CONTROL_MESSAGES, events, on_message)
        for datagram in MessageCodec(CONTROL_MESSAGES).encode(ConfigurationUpdate(1, b"")):
            socket._handle_datagram(datagram, ("10.0.0.1", 7720))
        self.assertEqual(events.record.call_args.args, ("message_failed",))


class OddMessages:
    """Messages whose fields have the right types and, here and there, odd values."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def _odd_number(self) -> int:
        return self._random.choice(
            (-(2**63), -1, 0, 1, 3, 65535, 65536, 2**32 - 1, 2**32, 2**63, 2**64 - 1)
        )

    def _odd_seconds(self) -> float:
        return self._random.choice((-1.0, 0.0, 0.06, 1e300, float("inf"), float("nan")))

    def _number(self, usual: int) -> int:
        return self._odd_number() if self._random.random() < 0.15 else usual

    def _text(self, usual: str) -> str:
        is_odd = self._random.random() < 0.15
        return self._random.choice(("", "a", "\0", *UNUSABLE_NAMES)) if is_odd else usual

    def _lifetime(self) -> Lifetime:
        return Lifetime(self._text("i-1"), self._number(1000))

    def _entry(self) -> TargetEntry:
        number = self._number
        endpoint = Endpoint(number(0x0A800001), number(8080))
        state = self._random.choice(list(LifeState))
        service, zone = self._text(SERVICE), self._text("adum")
        return TargetEntry(
            self._lifetime(), number(1), service, zone, endpoint, number(2), state, number(1),
            number(0), self._random.random() < 0.7,
        )  # fmt: skip

    def _position(self) -> Position:
        return Position(self._number(1), self._number(1))

    def update(self) -> Update:
        entries = tuple(self._entry() for _ in range(self._random.randrange(5)))
        controls = tuple(self._text(CONTROL) for _ in range(self._random.randrange(4)))
        peers = ZonePeerCounts(self._number(0), self._number(0))
        version, since = self._number(-1), self._number(0)
        sender = self._text(CONTROL)
        return Update(sender, self._position(), since, entries, version, controls, peers)

    def subscription(self) -> Subscription:
        is_control, is_poll = self._random.random() < 0.5, self._random.random() < 0.5
        host, zone = self._text(ENTRY), self._text("adum")
        version = self._number(-1)
        return Subscription(host, zone, is_control, self._position(), version, is_poll, True)

    def report(self) -> SilenceReport:
        return SilenceReport(self._lifetime(), self._text("adum"), self._odd_seconds())

    def query(self) -> SilenceQuery:
        return SilenceQuery(self._lifetime(), self._odd_seconds())


class OddValuesTest(unittest.IsolatedAsyncioTestCase):
    """Only handling a message may fail, which its socket reports; what comes after it may not."""

    async def test_entry_host_goes_on_after_odd_messages(self) -> None:
        codec = MessageCodec(CONTROL_MESSAGES)
        for seed in range(300):
            odd, now = OddMessages(seed), [100.0]
            process = make_entry_process(lambda now=now: now[0])
            configure(process)
            for step in range(6):
                now[0] += 0.3
                for body in (odd.update(), odd.query()):
                    for datagram in codec.encode(body):
                        process._message_socket._handle_datagram(datagram, ("10.0.0.1", 7720))
                receive_packet(process, 40000 + step)
                receive_packet(process, 40000 + step, number=1)
                process._poll_controls()
                process._report_silent_targets()
                process._forwarder.tick(now[0])

    async def test_control_host_goes_on_after_odd_messages(self) -> None:
        codec = MessageCodec(CONTROL_MESSAGES)
        for seed in range(300):
            odd = OddMessages(seed)
            core = checkins.CheckInCore(CONTROL, "adum", checkins.Registry(7, 1.2))
            for step in range(12):
                now = 100.0 + 0.4 * step
                update = self.pass_on(codec, odd.update())
                for event in (
                    *([] if update is None else [checkins.PeerUpdated(update)]),
                    checkins.Subscribed(self.pass_on(codec, odd.subscription())),
                    checkins.SilenceReported(ENTRY, self.pass_on(codec, odd.report())),
                    checkins.PublicationContinued(),
                    checkins.Tick(),
                ):
                    for effect in core.handle(event, now):
                        if isinstance(effect, checkins.SendUpdate):
                            self.assertTrue(codec.encode(effect.body))

    @staticmethod
    def pass_on(codec: MessageCodec, body: Any) -> Any:
        """Return a message as its receiver decodes it; ``None`` if it is rejected."""
        decoded = None
        try:
            for datagram in codec.encode(body):
                decoded = codec.decode(datagram, ("10.0.0.9", 7720))
        except CodecError:
            return None
        return decoded


class EntryHostTest(unittest.IsolatedAsyncioTestCase):
    async def test_polls_go_on_after_an_update_with_unusable_control_hosts(self) -> None:
        process = make_entry_process(lambda: 100.0)
        controls = (CONTROL, *UNUSABLE_NAMES)
        update = Update(CONTROL, Position(1, 1), 0, (target_entry(1),), -1, controls)
        process._handle_message(CONTROL, update)
        process._poll_controls()
        self.assertEqual(process._forwarder.views.position(CONTROL), Position(1, 1))


if __name__ == "__main__":
    unittest.main()
