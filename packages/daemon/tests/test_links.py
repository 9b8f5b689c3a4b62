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
from lacewingrudder_daemon._links.outbox import OUTBOX_MESSAGES
from lacewingrudder_daemon.recorder import TimelineWriter
from lacewingrudder_wire import handshake
from lacewingrudder_wire.codec import MESSAGE_LIMIT_BYTES, Envelope, decode, encode
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed

KEY = "a-key-for-tests-only"
FIRST_PORT = 21000
WAIT_SECONDS = 5.0


def order(number: int) -> m.ProbeRequest:
    return m.ProbeRequest(number, "subject")


class LinkCase(unittest.IsolatedAsyncioTestCase):
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

    async def start(self, name: str, key: str = KEY) -> LinkHub:
        inbox = self.received.setdefault(name, [])
        recorder = TimelineWriter(name, None)
        hub = LinkHub(name, key, self.endpoints, recorder, inbox.append)
        await hub.start(self.endpoints[name])
        self.hubs.append(hub)
        return hub

    async def stranger(self, name: str) -> ClientConnection:
        connection = await connect(f"ws://{self.endpoints[name]}", proxy=None)
        self.addAsyncCleanup(connection.close)
        return connection

    async def until(self, reached: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_SECONDS):
            while not reached():
                await asyncio.sleep(0.01)

    async def closed(self, connection: ClientConnection) -> None:
        with self.assertRaises(ConnectionClosed):
            async with asyncio.timeout(WAIT_SECONDS):
                while True:
                    await connection.recv()

    def numbers(self, name: str) -> list[int]:
        return [incoming.body.sequence for incoming in self.received[name]]


def pack(body: Any) -> bytes:
    return encode(Envelope(HybridTime(1, 0), body))


class DeliveryTest(LinkCase):
    async def test_messages_arrive_in_order_in_both_directions_on_one_link(self) -> None:
        left, right = await self.start("left"), await self.start("right")
        for number in range(50):
            left.send("right", order(number))
        await self.until(lambda: len(self.received["right"]) == 50)
        right.send("left", order(1))
        await self.until(lambda: len(self.received["left"]) == 1)
        self.assertEqual(self.numbers("right"), list(range(50)))
        self.assertEqual((left.linked_hosts, right.linked_hosts), (1, 1))

    async def test_two_hosts_that_call_each_other_at_once_lose_nothing(self) -> None:
        left, right = await self.start("left"), await self.start("right")
        for number in range(20):
            left.send("right", order(number))
            right.send("left", order(number))
        await self.until(lambda: len(self.received["left"]) == 20)
        await self.until(lambda: len(self.received["right"]) == 20)
        self.assertEqual(self.numbers("left"), list(range(20)))

    async def test_host_that_starts_late_gets_what_still_counts(self) -> None:
        left = await self.start("left")
        left.send("right", m.MembersPull(b"kept"))
        left.send("right", order(1))
        await asyncio.sleep(0.3)
        await self.start("right")
        await self.until(lambda: len(self.received["right"]) >= 1)
        self.assertEqual(self.received["right"][0].body, m.MembersPull(b"kept"))

    async def test_restarted_host_is_called_again(self) -> None:
        left, right = await self.start("left"), await self.start("right")
        left.send("right", order(1))
        await self.until(lambda: len(self.received["right"]) == 1)
        await right.stop()
        self.hubs.remove(right)
        await self.start("right")
        await self.until(lambda: left.linked_hosts == 0)
        left.send("right", order(2))
        await self.until(lambda: self.numbers("right") == [1, 2])

    async def test_endpoint_that_is_learnt_is_called(self) -> None:
        left = await self.start("left")
        await self.start("third")
        left.learn("third", self.endpoints["third"])
        left.send("third", order(1))
        await self.until(lambda: self.numbers("third") == [1])


class AuthenticationTest(LinkCase):
    async def test_host_with_another_key_is_refused_on_both_sides(self) -> None:
        left = await self.start("left", key="another-key-altogether")
        right = await self.start("right")
        left.send("right", m.MembersPull(b""))
        await self.until(lambda: right.counts.rejections[Rejection.UNAUTHENTICATED] > 0)
        self.assertEqual(self.received["right"], [])
        self.assertEqual(left.linked_hosts, 0)

    async def test_listener_without_the_key_gets_no_message(self) -> None:
        left = await self.start("left")
        right = await self.start("right", key="another-key-altogether")
        left.send("right", m.MembersPull(b""))
        await asyncio.sleep(0.3)
        self.assertEqual((self.received["right"], right.linked_hosts), ([], 0))

    async def test_another_host_behind_an_endpoint_is_not_taken_for_the_called_one(self) -> None:
        left = await self.start("left")
        await self.start("third")
        left.learn("right", self.endpoints["third"])
        left.send("right", m.MembersPull(b""))
        await asyncio.sleep(0.3)
        self.assertEqual((self.received["third"], left.linked_hosts), ([], 0))

    async def test_replayed_greeting_opens_nothing(self) -> None:
        right = await self.start("right")
        first = await self.stranger("right")
        challenge = decode(await first.recv()).body
        nonce = b"n" * handshake.NONCE_BYTES
        proof = handshake.proof(KEY, "caller", "left", challenge.nonce)
        hello = pack(handshake.Hello("left", nonce, proof))
        await first.send(hello)
        self.assertIsInstance(decode(await first.recv()).body, handshake.Welcome)
        second = await self.stranger("right")
        await second.send(hello)
        await second.send(pack(order(1)))
        await self.closed(second)
        self.assertEqual(right.counts.rejections[Rejection.UNAUTHENTICATED], 1)
        self.assertEqual(self.received["right"], [])

    async def test_message_without_a_greeting_is_not_processed(self) -> None:
        right = await self.start("right")
        connection = await self.stranger("right")
        await connection.send(pack(order(1)))
        await self.closed(connection)
        self.assertEqual(right.counts.rejections[Rejection.UNAUTHENTICATED], 1)
        self.assertEqual(self.received["right"], [])

    async def test_operator_can_not_speak_as_a_host(self) -> None:
        await self.start("right")
        connection = await self.stranger("right")
        await connection.send(pack(handshake.OperatorHello()))
        await connection.send(pack(order(1)))
        await self.until(lambda: len(self.received["right"]) == 1)
        self.assertEqual(self.received["right"][0].sender, "")

    async def test_clock_of_a_stranger_is_not_taken_over(self) -> None:
        await self.start("right")
        recorder = self.hubs[0]._recorder
        connection = await self.stranger("right")
        ahead = HybridTime(recorder.now().wall + 50_000, 0)
        await connection.send(encode(Envelope(ahead, handshake.OperatorHello())))
        await connection.send(encode(Envelope(ahead, m.StatusRequest())))
        await self.until(lambda: len(self.received["right"]) == 1)
        self.assertLess(recorder.now(), ahead)


class HostileInputTest(LinkCase):
    async def assert_only_that_link_closes(
        self, send: Callable[[ClientConnection], Awaitable[None]], reason: Rejection
    ) -> None:
        left, right = await self.start("left"), await self.start("right")
        left.send("right", order(1))
        await self.until(lambda: len(self.received["right"]) == 1)
        connection = await self.stranger("right")
        await connection.send(pack(handshake.OperatorHello()))
        await send(connection)
        await self.closed(connection)
        await self.until(lambda: right.counts.rejections[reason] == 1)
        left.send("right", order(2))
        await self.until(lambda: self.numbers("right") == [1, 2])

    async def test_bytes_that_are_no_message(self) -> None:
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

    async def test_text_instead_of_bytes(self) -> None:
        await self.assert_only_that_link_closes(
            lambda connection: connection.send("text"), Rejection.MALFORMED
        )

    async def test_message_above_the_limit(self) -> None:
        await self.assert_only_that_link_closes(
            lambda connection: connection.send(b"\0" * (MESSAGE_LIMIT_BYTES + 1)),
            Rejection.OVERSIZED,
        )

    async def test_greeting_above_its_limit(self) -> None:
        right = await self.start("right")
        connection = await self.stranger("right")
        await connection.send(pack(handshake.Hello("x" * 5000, b"", b"")))
        await self.closed(connection)
        self.assertEqual(right.counts.rejections[Rejection.MALFORMED], 1)

    async def test_too_many_operators_leave_hosts_their_links(self) -> None:
        left, right = await self.start("left"), await self.start("right")
        for _ in range(links.OPERATORS_LIMIT + 3):
            connection = await self.stranger("right")
            await connection.send(pack(handshake.OperatorHello()))
        await self.until(lambda: right.counts.rejections[Rejection.TOO_MANY] == 3)
        left.send("right", order(1))
        await self.until(lambda: self.numbers("right") == [1])


class SlowReceiverTest(LinkCase):
    async def test_host_that_reads_nothing_holds_up_no_other_and_bounds_its_queue(self) -> None:
        release = asyncio.Event()

        async def read_nothing(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.close()

        address, _, port = str(self.endpoints["third"]).rpartition(":")
        deaf = await asyncio.start_server(read_nothing, address, int(port))
        left = await self.start("left")
        await self.start("right")
        for number in range(2 * OUTBOX_MESSAGES):
            left.send("third", m.MembersPull(b""))
            left.send("third", order(number))
        left.send("right", order(1))
        await self.until(lambda: self.numbers("right") == [1])
        self.assertGreaterEqual(left.dropped_messages, 2 * OUTBOX_MESSAGES)
        release.set()
        deaf.close()
        await asyncio.sleep(0.05)

    async def test_link_has_a_byte_budget(self) -> None:
        with mock.patch.multiple(
            channel, MESSAGE_LIMIT_BYTES=5_000, SEND_BYTES_PER_SECOND=50_000.0
        ):
            left = await self.start("left")
            await self.start("right")
            started = time.monotonic()
            for _ in range(10):
                left.send("right", m.MembersPull(b"x" * 4_000))
            await self.until(lambda: len(self.received["right"]) == 10)
        self.assertGreater(time.monotonic() - started, 0.5)

    async def test_idle_link_is_closed_and_opened_again(self) -> None:
        with mock.patch.object(links, "IDLE_SECONDS", 0.2):
            left, right = await self.start("left"), await self.start("right")
            left.send("right", order(1))
            await self.until(lambda: self.numbers("right") == [1])
            await self.until(lambda: left.linked_hosts + right.linked_hosts == 0)
            left.send("right", order(2))
            await self.until(lambda: self.numbers("right") == [1, 2])

    async def test_idle_operator_is_closed(self) -> None:
        with mock.patch.object(links, "OPERATOR_IDLE_SECONDS", 0.2):
            right = await self.start("right")
            connection = await self.stranger("right")
            await connection.send(pack(handshake.OperatorHello()))
            await self.closed(connection)
        await self.until(lambda: right.counts.rejections[Rejection.SLOW] == 1)

    async def test_stranger_that_says_nothing_is_closed(self) -> None:
        with mock.patch.object(links, "HANDSHAKE_SECONDS", 0.2):
            right = await self.start("right")
            await self.closed(await self.stranger("right"))
        await self.until(lambda: right.counts.rejections[Rejection.SLOW] == 1)
