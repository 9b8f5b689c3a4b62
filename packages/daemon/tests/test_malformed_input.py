"""Malformed input: a control host and an entry host survive it and go on serving."""

import unittest
from unittest.mock import Mock

from lacewingrudder_core.checkins import (
    ConfigurationUpdate,
    LifeState,
    Lifetime,
    Position,
    TargetEntry,
    Update,
)
from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon._fleet.control import CONTROL_MESSAGES
from lacewingrudder_daemon._fleet.entry import TagEntryProcess
from lacewingrudder_daemon._fleet.message_socket import MessageSocket
from lacewingrudder_wire.datagram_codec import MessageCodec

CONTROL = "10.0.0.1:7720"
UNUSABLE_NAMES = ("", "x", "10.0.0.9", "10.0.0.9:0", "10.0.0.9:70000", "a b:1", "10.0.0.9:seven")


def entry(number: int) -> TargetEntry:
    endpoint = Endpoint(0x0A800000 + number, 8080)
    lifetime = Lifetime(f"i-{number:x}", 1000)
    return TargetEntry(lifetime, number, "s", "adum", endpoint, 2, LifeState.READY, 1, 0, True)


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


class EntryHostTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        endpoint = Endpoint.parse("10.1.0.1:7720")
        settings = Mock(zone="adum", seeds=(CONTROL,), messages=endpoint, metrics=None)
        self.process = TagEntryProcess(settings, Mock(), Mock(), Mock(), Mock(), Mock())
        self.process._loop = Mock(time=Mock(return_value=100.0))

    async def test_polls_go_on_after_an_update_with_unusable_control_hosts(self) -> None:
        controls = (CONTROL, *UNUSABLE_NAMES)
        update = Update(CONTROL, Position(1, 1), 0, (entry(1),), -1, controls)
        self.process._handle_message(CONTROL, update)
        self.process._poll_controls()
        self.assertEqual(self.process._forwarder.views.position(CONTROL), Position(1, 1))


if __name__ == "__main__":
    unittest.main()
