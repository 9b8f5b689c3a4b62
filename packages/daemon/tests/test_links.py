import asyncio
import random
import time
import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import cbor2
from lacewingrudder_core import messages as m
from lacewingrudder_core.clock import HybridTime
from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon._links import channel
from lacewingrudder_daemon._links import hub as links
from lacewingrudder_daemon._links.counts import Rejection
from lacewingrudder_daemon._links.hub import Incoming, LinkHub
from lacewingrudder_daemon._links.outbox import MAX_OUTBOX_MESSAGES
from lacewingrudder_daemon.recorder import TimelineWriter
from lacewingrudder_wire import handshake
from lacewingrudder_wire.codec import MAX_MESSAGE_BYTES, Envelope, decode, encode
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed

KEY = "a-key-for-tests-only"
FIRST_PORT = 21000
WAIT_TIMEOUT_SECONDS = 5.0


def probe(number: int) -> m.ProbeRequest:
    return m.ProbeRequest(number, "subject")


class LinkTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        network = f"127.{random.randint(2, 18)}.{random.randint(1, 250)}"
        self.endpoints = {
            name: Endpoint.parse(f"{network}.{number}:{FIRST_PORT}")
            for number, name in enumerate(("left", "right", "third"), 1)
        }
        self.received: dict[str, list[Incoming]] = {}
        self.hubs: list[LinkHub] = []

    async def asyncTearDown(self) -> None:
        for hub in self.hubs:
            await hub.stop()

    async def start_hub(self, name: str, key: str = KEY) -> LinkHub:
        inbox = self.received.setdefault(name, [])
        timeline = TimelineWriter(name, None)
        hub = LinkHub(name, key, self.endpoints, timeline, inbox.append)
        await hub.start(self.endpoints[name])
        self.hubs.append(hub)
        return hub

    async def open_raw_connection(self, name: str) -> ClientConnection:
        connection = await connect(f"ws://{self.endpoints[name]}", proxy=None)
        self.addAsyncCleanup(connection.close)
        return connection

    async def wait_until(self, reached: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while not reached():
                await asyncio.sleep(0.01)

    async def wait_closed(self, connection: ClientConnection) -> None:
        with self.assertRaises(ConnectionClosed):
            async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
                while True:
                    await connection.recv()

    def received_sequences(self, name: str) -> list[int]:
        return [incoming.body.sequence for incoming in self.received[name]]


def encode_message(body: Any) -> bytes:
    return encode(Envelope(HybridTime(1, 0), body))


class DeliveryTest(LinkTestCase):
    async def test_messages_arrive_in_order_in_both_directions_on_one_link(self) -> None:
        left, right = await self.start_hub("left"), await self.start_hub("right")
        for number in range(50):
            left.send("right", probe(number))
        await self.wait_until(lambda: len(self.received["right"]) == 50)
        right.send("left", probe(1))
        await self.wait_until(lambda: len(self.received["left"]) == 1)
        self.assertEqual(self.received_sequences("right"), list(range(50)))
        self.assertEqual((left.linked_host_count, right.linked_host_count), (1, 1))

    async def test_hosts_that_connect_to_each_other_at_once_lose_nothing(self) -> None:
        left, right = await self.start_hub("left"), await self.start_hub("right")
        for number in range(20):
            left.send("right", probe(number))
            right.send("left", probe(number))
        await self.wait_until(lambda: len(self.received["left"]) == 20)
        await self.wait_until(lambda: len(self.received["right"]) == 20)
        self.assertEqual(self.received_sequences("left"), list(range(20)))

    async def test_host_that_starts_late_gets_messages_that_are_not_stale(self) -> None:
        left = await self.start_hub("left")
        left.send("right", m.MembersPull(b"kept"))
        left.send("right", probe(1))
        await asyncio.sleep(0.3)
        await self.start_hub("right")
        await self.wait_until(lambda: len(self.received["right"]) >= 1)
        self.assertEqual(self.received["right"][0].body, m.MembersPull(b"kept"))

    async def test_link_to_a_restarted_host_is_reopened(self) -> None:
        left, right = await self.start_hub("left"), await self.start_hub("right")
        left.send("right", probe(1))
        await self.wait_until(lambda: len(self.received["right"]) == 1)
        await right.stop()
        self.hubs.remove(right)
        await self.start_hub("right")
        await self.wait_until(lambda: left.linked_host_count == 0)
        left.send("right", probe(2))
        await self.wait_until(lambda: self.received_sequences("right") == [1, 2])

    async def test_updated_endpoint_is_connected_to(self) -> None:
        left = await self.start_hub("left")
        await self.start_hub("third")
        left.update_endpoint("third", self.endpoints["third"])
        left.send("third", probe(1))
        await self.wait_until(lambda: self.received_sequences("third") == [1])


class AuthenticationTest(LinkTestCase):
    async def test_host_with_another_key_is_refused_on_both_sides(self) -> None:
        left = await self.start_hub("left", key="another-key-altogether")
        right = await self.start_hub("right")
        left.send("right", m.MembersPull(b""))
        await self.wait_until(lambda: right.counts.rejections[Rejection.UNAUTHENTICATED] > 0)
        self.assertEqual(self.received["right"], [])
        self.assertEqual(left.linked_host_count, 0)

    async def test_listener_without_the_key_gets_no_message(self) -> None:
        left = await self.start_hub("left")
        right = await self.start_hub("right", key="another-key-altogether")
        left.send("right", m.MembersPull(b""))
        await asyncio.sleep(0.3)
        self.assertEqual((self.received["right"], right.linked_host_count), ([], 0))

    async def test_host_with_another_name_than_expected_is_refused(self) -> None:
        left = await self.start_hub("left")
        await self.start_hub("third")
        left.update_endpoint("right", self.endpoints["third"])
        left.send("right", m.MembersPull(b""))
        await asyncio.sleep(0.3)
        self.assertEqual((self.received["third"], left.linked_host_count), ([], 0))

    async def test_replayed_hello_is_refused(self) -> None:
        right = await self.start_hub("right")
        first = await self.open_raw_connection("right")
        challenge = decode(await first.recv()).body
        nonce = b"n" * handshake.NONCE_BYTES
        proof = handshake.proof(KEY, "caller", "left", challenge.nonce)
        hello = encode_message(handshake.Hello("left", nonce, proof))
        await first.send(hello)
        self.assertIsInstance(decode(await first.recv()).body, handshake.Welcome)
        second = await self.open_raw_connection("right")
        await second.send(hello)
        await second.send(encode_message(probe(1)))
        await self.wait_closed(second)
        self.assertEqual(right.counts.rejections[Rejection.UNAUTHENTICATED], 1)
        self.assertEqual(self.received["right"], [])

    async def test_message_without_a_handshake_is_refused(self) -> None:
        right = await self.start_hub("right")
        connection = await self.open_raw_connection("right")
        await connection.send(encode_message(probe(1)))
        await self.wait_closed(connection)
        self.assertEqual(right.counts.rejections[Rejection.UNAUTHENTICATED], 1)
        self.assertEqual(self.received["right"], [])

    async def test_operator_cannot_impersonate_a_host(self) -> None:
        await self.start_hub("right")
        connection = await self.open_raw_connection("right")
        await connection.send(encode_message(handshake.OperatorHello()))
        await connection.send(encode_message(probe(1)))
        await self.wait_until(lambda: len(self.received["right"]) == 1)
        self.assertEqual(self.received["right"][0].sender, "")

    async def test_clock_of_an_unauthenticated_peer_is_ignored(self) -> None:
        await self.start_hub("right")
        timeline = self.hubs[0]._timeline
        connection = await self.open_raw_connection("right")
        ahead = HybridTime(timeline.next_timestamp().wall + 50_000, 0)
        await connection.send(encode(Envelope(ahead, handshake.OperatorHello())))
        await connection.send(encode(Envelope(ahead, m.StatusRequest())))
        await self.wait_until(lambda: len(self.received["right"]) == 1)
        self.assertLess(timeline.next_timestamp(), ahead)


class InvalidInputTest(LinkTestCase):
    async def assert_only_that_link_closes(
        self, send: Callable[[ClientConnection], Awaitable[None]], reason: Rejection
    ) -> None:
        left, right = await self.start_hub("left"), await self.start_hub("right")
        left.send("right", probe(1))
        await self.wait_until(lambda: len(self.received["right"]) == 1)
        connection = await self.open_raw_connection("right")
        await connection.send(encode_message(handshake.OperatorHello()))
        await send(connection)
        await self.wait_closed(connection)
        await self.wait_until(lambda: right.counts.rejections[reason] == 1)
        left.send("right", probe(2))
        await self.wait_until(lambda: self.received_sequences("right") == [1, 2])

    async def test_bytes_that_are_not_a_message(self) -> None:
        await self.assert_only_that_link_closes(
            lambda connection: connection.send(b"\xff\x00"), Rejection.MALFORMED
        )

    async def test_message_with_a_field_of_another_type(self) -> None:
        data = cbor2.dumps([1, 0, 62, ["one", 2]])
        await self.assert_only_that_link_closes(
            lambda connection: connection.send(data), Rejection.MALFORMED
        )

    async def test_message_nested_too_deep(self) -> None:
        await self.assert_only_that_link_closes(
            lambda connection: connection.send(b"\x81" * 100_000), Rejection.MALFORMED
        )

    async def test_text_frame_instead_of_binary(self) -> None:
        await self.assert_only_that_link_closes(
            lambda connection: connection.send("text"), Rejection.MALFORMED
        )

    async def test_message_above_the_limit(self) -> None:
        await self.assert_only_that_link_closes(
            lambda connection: connection.send(b"\0" * (MAX_MESSAGE_BYTES + 1)),
            Rejection.OVERSIZED,
        )

    async def test_hello_above_its_limit(self) -> None:
        right = await self.start_hub("right")
        connection = await self.open_raw_connection("right")
        await connection.send(encode_message(handshake.Hello("x" * 5000, b"", b"")))
        await self.wait_closed(connection)
        self.assertEqual(right.counts.rejections[Rejection.MALFORMED], 1)

    async def test_limit_of_operator_connections_does_not_affect_hosts(self) -> None:
        left, right = await self.start_hub("left"), await self.start_hub("right")
        for _ in range(links.MAX_OPERATOR_CONNECTIONS + 3):
            connection = await self.open_raw_connection("right")
            await connection.send(encode_message(handshake.OperatorHello()))
        await self.wait_until(lambda: right.counts.rejections[Rejection.TOO_MANY] == 3)
        left.send("right", probe(1))
        await self.wait_until(lambda: self.received_sequences("right") == [1])


class SlowReceiverTest(LinkTestCase):
    async def test_unresponsive_host_does_not_delay_others_and_its_queue_is_bounded(self) -> None:
        release = asyncio.Event()

        async def read_nothing(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.close()

        address, _, port = str(self.endpoints["third"]).rpartition(":")
        unresponsive = await asyncio.start_server(read_nothing, address, int(port))
        left = await self.start_hub("left")
        await self.start_hub("right")
        for number in range(2 * MAX_OUTBOX_MESSAGES):
            left.send("third", m.MembersPull(b""))
            left.send("third", probe(number))
        left.send("right", probe(1))
        await self.wait_until(lambda: self.received_sequences("right") == [1])
        self.assertGreaterEqual(left.dropped_message_count, 2 * MAX_OUTBOX_MESSAGES)
        release.set()
        unresponsive.close()
        await asyncio.sleep(0.05)

    async def test_link_is_rate_limited(self) -> None:
        with mock.patch.multiple(
            channel, MAX_MESSAGE_BYTES=5_000, MAX_SEND_BYTES_PER_SECOND=50_000.0
        ):
            left = await self.start_hub("left")
            await self.start_hub("right")
            started = time.monotonic()
            for _ in range(10):
                left.send("right", m.MembersPull(b"x" * 4_000))
            await self.wait_until(lambda: len(self.received["right"]) == 10)
        self.assertGreater(time.monotonic() - started, 0.5)

    async def test_idle_link_is_closed_and_opened_again(self) -> None:
        with mock.patch.object(links, "LINK_IDLE_TIMEOUT_SECONDS", 0.2):
            left, right = await self.start_hub("left"), await self.start_hub("right")
            left.send("right", probe(1))
            await self.wait_until(lambda: self.received_sequences("right") == [1])
            await self.wait_until(lambda: left.linked_host_count + right.linked_host_count == 0)
            left.send("right", probe(2))
            await self.wait_until(lambda: self.received_sequences("right") == [1, 2])

    async def test_idle_operator_is_closed(self) -> None:
        with mock.patch.object(links, "OPERATOR_IDLE_TIMEOUT_SECONDS", 0.2):
            right = await self.start_hub("right")
            connection = await self.open_raw_connection("right")
            await connection.send(encode_message(handshake.OperatorHello()))
            await self.wait_closed(connection)
        await self.wait_until(lambda: right.counts.rejections[Rejection.SLOW] == 1)

    async def test_unauthenticated_connection_that_sends_nothing_is_closed(self) -> None:
        with mock.patch.object(links, "HANDSHAKE_TIMEOUT_SECONDS", 0.2):
            right = await self.start_hub("right")
            await self.wait_closed(await self.open_raw_connection("right"))
        await self.wait_until(lambda: right.counts.rejections[Rejection.SLOW] == 1)
