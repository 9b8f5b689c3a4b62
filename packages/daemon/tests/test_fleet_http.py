import asyncio
import unittest

from lacewingrudder_core.latencies import LatencyHistogram
from lacewingrudder_core.types import Endpoint
from lacewingrudder_daemon._fleet.http import HttpHandler, HttpRequest, HttpResponse, HttpServer
from lacewingrudder_daemon._fleet.metrics import Measures, MetricsHandler
from lacewingrudder_daemon._fleet.readiness import ReadinessHandler
from lacewingrudder_daemon.event_sink import EventSink

PORT = 28_470


class Events(EventSink):
    def __init__(self) -> None:
        self.names: list[str] = []

    def record(self, event: str, **fields: object) -> None:
        self.names.append(event)


class Echo(HttpHandler):
    async def answer(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, f"{request.method} {request.path} ".encode() + request.body)


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.events = Events()
        self.server = HttpServer(Echo(), self.events)
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

    async def test_bytes_that_are_no_request_end_the_connection(self) -> None:
        self.writer.write(b"\x00\x01\r\n\r\n")
        self.assertEqual(await asyncio.wait_for(self.reader.read(), 5), b"")
        self.assertEqual(self.events.names, ["http_connection_failed"])


class HandlerTest(unittest.IsolatedAsyncioTestCase):
    async def test_readiness(self) -> None:
        request = HttpRequest("GET", "/", b"")
        for ready, status in ((True, 200), (False, 503)):
            response = await ReadinessHandler(lambda ready=ready: ready).answer(request)
            self.assertEqual(response.status, status)

    async def test_metrics_hold_events_gauges_counters_and_histograms(self) -> None:
        latencies = LatencyHistogram()
        latencies.observe(0.02)
        measures = Measures(
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
