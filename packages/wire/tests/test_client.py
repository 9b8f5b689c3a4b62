import asyncio
import socket
import threading
import time
import unittest
from typing import Any

from lacewingrudder_core.clock import HybridTime
from lacewingrudder_core.messages import (
    OperatorReply,
    ReadConfiguration,
    Status,
    StatusRequest,
    SubmitOrder,
)
from lacewingrudder_core.notes import SubmitReply, SubmitTag
from lacewingrudder_core.types import Endpoint, OrderAction, TargetOrder, parse_address
from lacewingrudder_wire.client import STATUS_TIMEOUT_SECONDS, request
from lacewingrudder_wire.codec import Envelope, encode
from lacewingrudder_wire.exceptions import UnreachableError
from lacewingrudder_wire.handshake import Challenge
from websockets.asyncio.server import ServerConnection, serve

ORDER = SubmitOrder(TargetOrder("10.0.0.1:80", OrderAction.DRAIN))
TIME = HybridTime(1, 0)
ADDRESS = "127.0.0.1"
ACCEPTING = Status(5, "entry-1", True, (), (), (), ())
PARTITIONED = Status(4, "", False, (), (), (), ())


class FakeControlHost(threading.Thread):
    """A control host that gives every request the same answer, or none before disconnecting."""

    def __init__(self, tag: SubmitTag | None, status: Status | None = None) -> None:
        super().__init__(daemon=True)
        self._tag = tag
        self._status = status
        self.requests = 0
        self._ready = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._stop_event = asyncio.Event()
        self.start()
        self._ready.wait()

    def run(self) -> None:
        self._loop.run_until_complete(self._serve())
        self._loop.close()

    def stop(self) -> None:
        self._loop.call_soon_threadsafe(self._stop_event.set)
        self.join()

    async def _serve(self) -> None:
        async with serve(self._handle_connection, ADDRESS, 0, compression=None) as server:
            port = next(iter(server.sockets)).getsockname()[1]
            self.endpoint = Endpoint(parse_address(ADDRESS), port)
            self._ready.set()
            await self._stop_event.wait()

    async def _handle_connection(self, connection: ServerConnection) -> None:
        await connection.send(encode(Envelope(TIME, Challenge(b"n" * 16))))
        await connection.recv()
        await connection.recv()
        self.requests += 1
        if self._status is not None:
            await connection.send(encode(Envelope(TIME, self._status)))
        if self._tag is not None:
            reply = OperatorReply(SubmitReply(self._tag, 1, "detail"))
            await connection.send(encode(Envelope(TIME, reply)))


class ClientTest(unittest.TestCase):
    def start_control_hosts(self, *tags: SubmitTag | None) -> list[FakeControlHost]:
        hosts = [FakeControlHost(tag) for tag in tags]
        for host in hosts:
            self.addCleanup(host.stop)
        return hosts

    def submit_order(self, hosts: list[FakeControlHost]) -> SubmitTag:
        answer: Any = request([host.endpoint for host in hosts], ORDER)
        assert isinstance(answer, OperatorReply)
        return answer.reply.tag

    def test_refused_request_is_sent_to_the_next_host(self) -> None:
        hosts = self.start_control_hosts(SubmitTag.REFUSED, SubmitTag.ACCEPTED)
        self.assertEqual(self.submit_order(hosts), SubmitTag.ACCEPTED)

    def test_refusal_after_a_lost_answer_is_unknown(self) -> None:
        self.assertEqual(
            self.submit_order(self.start_control_hosts(None, SubmitTag.REFUSED)), SubmitTag.UNKNOWN
        )

    def test_read_without_an_answer_has_changed_nothing(self) -> None:
        hosts = self.start_control_hosts(None)
        answer: Any = request([host.endpoint for host in hosts], ReadConfiguration())
        self.assertEqual(answer.reply.tag, SubmitTag.REFUSED)

    def test_unknown_outcome_is_resolved_by_the_next_host(self) -> None:
        hosts = self.start_control_hosts(SubmitTag.UNKNOWN, SubmitTag.ACCEPTED)
        self.assertEqual(self.submit_order(hosts), SubmitTag.ACCEPTED)

    def test_conflict_is_final(self) -> None:
        hosts = self.start_control_hosts(SubmitTag.CONFLICT, SubmitTag.ACCEPTED)
        self.assertEqual(self.submit_order(hosts), SubmitTag.CONFLICT)
        self.assertEqual(hosts[1].requests, 0)

    def request_status(self, *hosts: FakeControlHost) -> Any:
        for host in hosts:
            self.addCleanup(host.stop)
        return request([host.endpoint for host in hosts], StatusRequest())

    def test_status_comes_from_a_host_that_accepts_notes(self) -> None:
        partitioned, leader = FakeControlHost(None, PARTITIONED), FakeControlHost(None, ACCEPTING)
        self.assertEqual(self.request_status(partitioned, leader), ACCEPTING)

    def test_status_of_a_partitioned_host_is_used_if_no_other_answers(self) -> None:
        hosts = FakeControlHost(SubmitTag.REFUSED), FakeControlHost(None, PARTITIONED)
        self.assertEqual(self.request_status(*hosts), PARTITIONED)

    def test_unresponsive_hosts_do_not_delay_the_status(self) -> None:
        with socket.socket() as unresponsive:
            unresponsive.bind((ADDRESS, 0))
            unresponsive.listen()
            endpoint = Endpoint(parse_address(ADDRESS), unresponsive.getsockname()[1])
            host = FakeControlHost(None, ACCEPTING)
            self.addCleanup(host.stop)
            started = time.monotonic()
            status = request([endpoint, endpoint, host.endpoint], StatusRequest())
        self.assertEqual(status, ACCEPTING)
        self.assertLess(time.monotonic() - started, STATUS_TIMEOUT_SECONDS)

    def test_request_without_a_reachable_host_is_refused(self) -> None:
        with socket.socket() as closed:
            closed.bind((ADDRESS, 0))
            endpoint = Endpoint(parse_address(ADDRESS), closed.getsockname()[1])
            self.assertEqual(request([endpoint], ORDER).reply.tag, SubmitTag.REFUSED)
            with self.assertRaises(UnreachableError):
                request([endpoint], StatusRequest())
