import asyncio
import socket
import unittest

import h11
from lacewingrudder_core.latencies import LatencyHistogram
from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon._fleet.http import HttpHandler, HttpRequest, HttpResponse, HttpServer
from lacewingrudder_daemon._fleet.metrics import MetricsHandler, MetricsSnapshot
from lacewingrudder_daemon._fleet.readiness import ReadinessHandler
from lacewingrudder_daemon.event_sink import EventSink

PORT = 28_470


class Events(EventSink):
    def __init__(self) -> None:
        self.names: list[str] = []

    def record(self, event: str, **fields: object) -> None:
        self.names.append(event)


class Echo(HttpHandler):
    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []

    async def answer(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        return HttpResponse(200, f"{request.method} {request.path} ".encode() + request.body)


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.events = Events()
        self.handler = Echo()
        self.server = HttpServer(self.handler, self.events)
        await self.server.start(Endpoint.parse(f"127.0.0.1:{PORT}"))
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", PORT)

    async def asyncTearDown(self) -> None:
        self.writer.close()
        await self.server.stop()

    async def call(self, data: bytes) -> bytes:
        self.writer.write(data)
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), 5)
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        return await self.reader.readexactly(length)

    async def test_two_calls_on_one_connection(self) -> None:
        put = b"PUT /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
        self.assertEqual(await self.call(put), b"PUT /a?b abc")
        self.assertEqual(await self.call(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"), b"GET / ")

    async def test_body_in_chunks(self) -> None:
        put = b"PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
        self.assertEqual(await self.call(put), b"PUT / ab")

    async def test_invalid_request_closes_the_connection(self) -> None:
        self.writer.write(b"\x00\x01\r\n\r\n")
        self.assertEqual(await asyncio.wait_for(self.reader.read(), 5), b"")
        self.assertEqual(self.events.names, ["http_connection_failed"])

    async def test_request_that_breaks_off_reaches_no_handler(self) -> None:
        for framing in (
            b"Content-Length: 9\r\n\r\n{}",
            b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}",
        ):
            with self.subTest(framing=framing):
                reader, writer = await asyncio.open_connection("127.0.0.1", PORT)
                writer.write(b"PUT / HTTP/1.1\r\nHost: x\r\n" + framing)
                writer.write_eof()
                self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")
                writer.close()
        self.assertEqual(self.handler.requests, [])
        self.assertEqual(self.events.names, ["http_connection_failed"] * 2)

    async def test_response_that_breaks_off_is_shorter_than_it_says(self) -> None:
        put = b"PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc"
        self.writer.write(put)
        answer = await asyncio.wait_for(self.reader.read(), 5)
        for length in range(1, len(answer)):
            protocol = h11.Connection(h11.CLIENT)
            protocol.send(h11.Request(method="PUT", target="/", headers=[("Host", "x")]))
            protocol.send(h11.EndOfMessage())
            protocol.receive_data(answer[:length])
            received = []
            while (event := protocol.next_event()) is not h11.NEED_DATA:
                received.append(type(event))
            self.assertNotIn(h11.EndOfMessage, received, answer[:length])
            protocol.receive_data(b"")
            with self.assertRaises(h11.RemoteProtocolError):
                protocol.next_event()

    async def test_head_is_answered_without_a_body(self) -> None:
        self.writer.write(b"HEAD /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answer = await asyncio.wait_for(self.reader.read(), 5)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)
        self.assertIn(b"content-length: 8", answer.lower())


class Failing(HttpHandler):
    async def answer(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/fails":
            raise LookupError("no such row")
        return HttpResponse(200, b"fine")


class FailingHandlerTest(unittest.IsolatedAsyncioTestCase):
    async def test_call_whose_handling_fails_is_answered_and_the_connection_stays(self) -> None:
        events = Events()
        server = HttpServer(Failing(), events)
        await server.start(Endpoint.parse(f"127.0.0.1:{PORT}"))
        self.addAsyncCleanup(server.stop)
        reader, writer = await asyncio.open_connection("127.0.0.1", PORT)
        writer.write(b"GET /fails HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n")
        answer = await asyncio.wait_for(reader.readuntil(b"fine"), 5)
        writer.close()
        self.assertTrue(answer.startswith(b"HTTP/1.1 500"), answer)
        self.assertEqual(events.names, ["http_call_failed"])


class Receipts(HttpHandler):
    """Counts the responses that clients received; answers when it is told to."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.body = b"fine"
        self.count = 0

    def add(self) -> None:
        self.count += 1

    async def answer(self, request: HttpRequest) -> HttpResponse:
        await self.may_answer.wait()
        return HttpResponse(200, self.body, on_received=self.add)


class ReceiptTest(unittest.IsolatedAsyncioTestCase):
    """A response that was sent may be lost: the connection shows whether the client has it."""

    async def asyncSetUp(self) -> None:
        self.handler = Receipts()
        self.server = HttpServer(self.handler, Events())
        await self.server.start(Endpoint.parse(f"127.0.0.1:{PORT}"))
        self.addAsyncCleanup(self.server.stop)
        self.client = socket.create_connection(("127.0.0.1", PORT))
        self.addCleanup(lambda: self.client.close())

    async def request(self, header: str = "") -> None:
        self.client.sendall(f"GET / HTTP/1.1\r\nHost: x\r\n{header}\r\n".encode())
        await asyncio.sleep(0.1)

    async def receive(self) -> None:
        self.assertTrue(self.client.recv(4096).endswith(b"fine"))
        await asyncio.sleep(0.1)

    async def count_after_close(self) -> int:
        self.client.close()
        await asyncio.sleep(0.1)
        return self.handler.count

    async def test_client_that_closes_after_the_response_received_it(self) -> None:
        await self.request()
        await self.receive()
        self.assertEqual(self.handler.count, 0)
        self.assertEqual(await self.count_after_close(), 1)

    async def test_client_that_asks_to_close_received_it_once_it_closed(self) -> None:
        await self.request("Connection: close\r\n")
        await self.receive()
        self.assertEqual(self.handler.count, 0)
        self.assertEqual(await self.count_after_close(), 1)

    # Guards against a response that is complete for such a client only after its time-out.
    async def test_client_that_reads_to_the_end_of_the_connection_gets_it_at_once(self) -> None:
        await self.request("Connection: close\r\n")
        await self.receive()
        self.client.settimeout(0.3)
        self.assertEqual(self.client.recv(4096), b"")
        self.assertEqual(await self.count_after_close(), 1)

    async def test_client_that_sends_the_next_request_received_the_response_before(self) -> None:
        await self.request()
        await self.receive()
        await self.request()
        self.assertEqual(self.handler.count, 1)

    async def test_client_that_closes_with_the_response_unread_did_not_receive_it(self) -> None:
        for header in ("", "Connection: close\r\n"):
            await self.request(header)
            self.assertEqual(await self.count_after_close(), 0)
            self.client = socket.create_connection(("127.0.0.1", PORT))

    # Guards against a response that is lost on the way and yet counts, since the client closes.
    async def test_client_that_closes_before_it_has_the_whole_response_did_not_receive_it(
        self,
    ) -> None:
        self.handler.body = bytes(100_000)
        self.client.close()
        self.client = socket.socket()
        self.client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.client.connect(("127.0.0.1", PORT))
        await self.request()
        self.client.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.1)
        self.assertEqual(self.handler.count, 0)

    async def test_client_that_gave_up_before_the_response_did_not_receive_it(self) -> None:
        self.handler.may_answer.clear()
        await self.request()
        self.client.close()
        await asyncio.sleep(0.1)
        self.handler.may_answer.set()
        await asyncio.sleep(0.1)
        self.assertEqual(self.handler.count, 0)


class Slow(HttpHandler):
    """Answers when it is told to."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.paths: list[str] = []
        self.cancelled: list[str] = []

    async def answer(self, request: HttpRequest) -> HttpResponse:
        self.paths.append(request.path)
        try:
            await self.may_answer.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        return HttpResponse(200, request.path.encode())


class AbandonedCallTest(unittest.IsolatedAsyncioTestCase):
    """A client gives a call up and closes its connection."""

    async def asyncSetUp(self) -> None:
        self.handler = Slow()
        self.events = Events()
        self.server = HttpServer(self.handler, self.events)
        await self.server.start(Endpoint.parse(f"127.0.0.1:{PORT}"))
        self.addAsyncCleanup(self.server.stop)

    def send(self, data: bytes) -> socket.socket:
        client = socket.create_connection(("127.0.0.1", PORT))
        self.addCleanup(client.close)
        client.sendall(data)
        return client

    # Guards against an order that a host carries out which was paused while its sender gave it up.
    async def test_call_that_was_given_up_before_it_is_read_is_not_handled(self) -> None:
        self.handler.may_answer.set()
        for number in range(20):  # the event loop is blocked meanwhile
            self.send(f"DELETE /{number} HTTP/1.1\r\nHost: x\r\n\r\n".encode()).close()
        put = b"PUT /body HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n" + bytes(70_000)
        self.send(put).close()
        await asyncio.sleep(0.2)
        self.assertEqual(self.handler.paths, [])
        self.assertEqual(self.events.names, ["http_call_abandoned"] * 21)

    # Guards against a call that is given up while it waits, and carried out afterwards.
    async def test_call_that_is_given_up_while_it_waits_is_cancelled(self) -> None:
        client = self.send(b"POST /a HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        self.assertEqual((self.handler.paths, self.handler.cancelled), (["/a"], []))
        client.close()
        await asyncio.sleep(0.05)
        self.assertEqual(self.handler.cancelled, ["/a"])
        self.assertEqual(self.events.names, ["http_call_abandoned"])

    # Guards against a client that sends its next call early and is taken for one that gave up.
    async def test_calls_that_are_sent_before_the_answer_to_the_first_are_answered(self) -> None:
        call = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
        reader, writer = await asyncio.open_connection("127.0.0.1", PORT)
        self.addCleanup(writer.close)
        writer.write(call % 1)
        await asyncio.sleep(0.05)
        writer.write(call % 2)
        await asyncio.sleep(0.05)
        writer.write(call % 3)
        await asyncio.sleep(0.05)
        self.handler.may_answer.set()
        await asyncio.wait_for(reader.readuntil(b"/3"), 5)
        self.assertEqual(self.handler.paths, ["/1", "/2", "/3"])

    async def test_call_that_waits_ends_with_the_server(self) -> None:
        self.send(b"POST /a HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        await self.server.stop()
        await asyncio.sleep(0.05)
        self.assertEqual(self.handler.cancelled, ["/a"])


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """A server stops while calls were just accepted or wait for their answers."""

    async def asyncSetUp(self) -> None:
        self.handler = Slow()
        self.server = HttpServer(self.handler, Events())
        await self.server.start(Endpoint.parse(f"127.0.0.1:{PORT}"))
        self.addAsyncCleanup(self.server.stop)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", PORT)
        self.addCleanup(writer.close)
        return reader, writer

    async def drain(self, seconds: float) -> float:
        began = asyncio.get_running_loop().time()
        await self.server.drain(seconds)
        await self.server.stop()
        return asyncio.get_running_loop().time() - began

    async def test_calls_under_way_are_answered_and_then_their_connections_closed(self) -> None:
        connections = [await self.connect() for _ in range(40)]
        for number, (_, writer) in enumerate(connections):
            writer.write(f"GET /{number} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        await asyncio.sleep(0.1)
        drained = asyncio.create_task(self.drain(5.0))
        await asyncio.sleep(0.1)
        self.handler.may_answer.set()
        self.assertLess(await drained, 2.0)
        for number, (reader, _) in enumerate(connections):
            answer = await asyncio.wait_for(reader.read(), 5)
            self.assertTrue(answer.endswith(f"\r\n\r\n/{number}".encode()), answer)
            self.assertIn(b"connection: close", answer.lower())

    async def test_calls_sent_on_connections_that_were_just_opened_are_answered(self) -> None:
        self.handler.may_answer.set()
        connections = [await self.connect() for _ in range(40)]
        drained = asyncio.create_task(self.drain(5.0))
        await asyncio.sleep(0.05)
        for number, (_, writer) in enumerate(connections):
            writer.write(f"GET /{number} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        for number, (reader, _) in enumerate(connections):
            answer = await asyncio.wait_for(reader.read(), 5)
            self.assertTrue(answer.endswith(f"\r\n\r\n/{number}".encode()), answer)
        self.assertLess(await drained, 2.0)

    async def test_call_sent_on_a_new_connection_may_take_long_to_answer(self) -> None:
        reader, writer = await self.connect()
        await asyncio.sleep(0.05)
        drained = asyncio.create_task(self.drain(5.0))
        await asyncio.sleep(0.2)
        writer.write(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(1.0)
        self.handler.may_answer.set()
        self.assertTrue((await asyncio.wait_for(reader.read(), 5)).endswith(b"/slow"))
        await drained

    async def test_half_a_request_is_waited_for(self) -> None:
        self.handler.may_answer.set()
        reader, writer = await self.connect()
        writer.write(b"PUT /late HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na")
        await asyncio.sleep(0.05)
        drained = asyncio.create_task(self.drain(5.0))
        await asyncio.sleep(1.0)
        writer.write(b"bc")
        self.assertTrue((await asyncio.wait_for(reader.read(), 5)).endswith(b"/late"))
        await drained

    async def test_idle_connections_are_closed_at_once_and_unused_ones_soon(self) -> None:
        self.handler.may_answer.set()
        idle, unused = await self.connect(), await self.connect()
        idle[1].write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await idle[0].readuntil(b"\r\n\r\n/")
        self.assertLess(await self.drain(5.0), 1.5)
        self.assertEqual(await asyncio.wait_for(idle[0].read(), 5), b"")
        self.assertEqual(await asyncio.wait_for(unused[0].read(), 5), b"")

    async def test_calls_that_get_no_answer_end_with_the_time_limit(self) -> None:
        reader, writer = await self.connect()
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        self.assertLess(await self.drain(0.5), 1.5)
        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"")

    async def test_no_connection_is_accepted_while_the_server_drains(self) -> None:
        await self.connect()
        drained = asyncio.create_task(self.drain(5.0))
        await asyncio.sleep(0.05)
        with self.assertRaises(OSError):
            await asyncio.open_connection("127.0.0.1", PORT)
        await drained


class HandlerTest(unittest.IsolatedAsyncioTestCase):
    async def test_readiness(self) -> None:
        request = HttpRequest("GET", "/", b"")
        for ready, status in ((True, 200), (False, 503)):
            response = await ReadinessHandler(lambda ready=ready: ready).answer(request)
            self.assertEqual(response.status, status)

    async def test_metrics_hold_events_gauges_counters_and_histograms(self) -> None:
        latencies = LatencyHistogram()
        latencies.observe(0.02)
        measures = MetricsSnapshot(
            {"reset": 3}, {"flows": 5}, {"message_bytes_sent": 7}, {"open_seconds": latencies}
        )
        handler = MetricsHandler(lambda: measures)
        response = await handler.answer(HttpRequest("GET", "/metrics", b""))
        lines = response.body.decode().splitlines()
        for line in (
            'lwr_events_total{event="reset"} 3.0',
            "lwr_flows 5.0",
            "lwr_message_bytes_sent_total 7.0",
            'lwr_open_seconds_bucket{le="0.025"} 1.0',
            "lwr_open_seconds_count 1.0",
        ):
            self.assertIn(line, lines)
        self.assertEqual((await handler.answer(HttpRequest("GET", "/", b""))).status, 404)
