"""Simulated callers: open flows, send requests and check every byte of the answers.

Run as ``python -m standins.callers CONFIG RESULT``. The configuration is a JSON object with
``listen``, ``fabric``, ``address`` (the inner address), ``seed`` and ``loads``, objects as
in :class:`LoadConfig`. The result is a JSON list with one :class:`FlowResult` per flow.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple, TypedDict

from . import tcp, wire, work
from .fabric import parse_endpoint
from .sockets import open_socket
from .wire import Address, InnerSegment

TICK_INTERVAL_SECONDS = 0.05
FIRST_CALLER_PORT = 10_000
LAST_CALLER_PORT = 60_000


class LoadConfig(TypedDict):
    """Flows of one kind of work.

    ``rate`` flows start per second for ``duration`` seconds, beginning ``start`` seconds into the
    run. Each flow sends ``requests`` requests with ``pause`` seconds between them, and waits up to
    ``patience`` seconds for the handshake, for each answer and for the close.
    """

    name: str
    service: str
    endpoint: str
    rate: float
    start: float
    duration: float
    requests: int
    pause: float
    answer_bytes: int
    patience: float


class FlowResult(NamedTuple):
    """The outcome of one flow.

    :param outcome: ``done``, ``refused`` (reset before the handshake completed), ``reset``,
        ``silent`` (no answer in time), ``wrong`` (an answer with a wrong byte, or from another
        target than the previous answer) or ``unconnected`` (no handshake in time).
    :param target: the target that answered, or empty if none did.
    :param connect: seconds from the SYN until the handshake completed.
    :param slowest: longest time in seconds from a request to its answer.
    :param started: seconds from the start of the run to the start of the flow.
    :param answered: number of complete and correct answers.
    """

    load: str
    outcome: str
    target: str
    connect: float
    slowest: float
    started: float
    answered: int


class FlowFailedError(Exception):
    """A step of a flow failed or timed out; ``outcome`` is the result of the flow."""

    def __init__(self, outcome: str) -> None:
        super().__init__(outcome)
        self.outcome = outcome


class CallerConnection(tcp.TcpConnection):
    """A connection of a caller; it signals each arriving segment to the task of its flow."""

    def __init__(
        self, local: Address, remote: Address, isn: int, send: Callable[[InnerSegment], None]
    ) -> None:
        super().__init__(local, remote, isn, send)
        self.segment_arrived = asyncio.Event()


class Callers:
    """Runs all callers of this process over one socket; needs a running event loop."""

    def __init__(self, config: dict[str, Any]) -> None:
        self._config = config
        self._fabric = parse_endpoint(config["fabric"])
        self._random = random.Random(config["seed"])
        self._connections: dict[tuple[int, Address], CallerConnection] = {}
        self._last_port = FIRST_CALLER_PORT + self._random.randrange(1000)
        self._last_number = self._random.getrandbits(40) << 20
        self._send_datagram = open_socket(parse_endpoint(config["listen"]), self._receive)
        self._changed = asyncio.Condition()
        self._start_time = 0.0

    def _receive(self, data: bytes, _: Address) -> None:
        """Pass a segment to the connection of its flow."""
        segment = wire.unpack(data)
        connection = self._connections.get((segment.destination[1], segment.source))
        if connection is not None:
            connection.handle_segment(segment, asyncio.get_running_loop().time())
            connection.segment_arrived.set()

    async def run(self) -> list[FlowResult]:
        """Run all loads concurrently and return the results of their flows."""
        loop = asyncio.get_running_loop()
        self._start_time = loop.time()
        ticker = loop.create_task(self._tick())
        results = await asyncio.gather(*(self._run_load(load) for load in self._config["loads"]))
        ticker.cancel()
        return [result for group in results for result in group]

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            now = asyncio.get_running_loop().time()
            for connection in list(self._connections.values()):
                connection.tick(now)

    async def _run_load(self, load: LoadConfig) -> list[FlowResult]:
        loop = asyncio.get_running_loop()
        flows = []
        for index in range(int(load["rate"] * load["duration"])):
            due = self._start_time + load["start"] + index / load["rate"]
            await asyncio.sleep(max(0.0, due - loop.time()))
            flows.append(loop.create_task(self._run_flow(load)))
        return list(await asyncio.gather(*flows))

    async def _run_flow(self, load: LoadConfig) -> FlowResult:
        loop = asyncio.get_running_loop()
        started = loop.time()
        service = parse_endpoint(load["endpoint"])
        connection = self._open_connection(service)
        result = FlowResult(
            load["name"], "done", "", 0.0, 0.0, round(started - self._start_time, 3), 0
        )
        try:
            await self._wait_until(
                connection, load["patience"], "unconnected", lambda: connection.is_established
            )
            result = result._replace(connect=loop.time() - started)
            for index in range(load["requests"]):
                if index:
                    await asyncio.sleep(load["pause"])
                result = await self._send_request(connection, load, result)
            connection.close(loop.time())
            await self._wait_until(
                connection, load["patience"], "done", lambda: connection.is_closed
            )
        except FlowFailedError as error:
            result = result._replace(outcome=error.outcome)
        finally:
            self._remove_connection(connection, service)
        return result

    def _open_connection(self, service: Address) -> CallerConnection:
        self._last_port += 1
        if self._last_port >= LAST_CALLER_PORT:
            self._last_port = FIRST_CALLER_PORT
        local = (str(self._config["address"]), self._last_port)
        connection = CallerConnection(local, service, self._random.getrandbits(32), self._send)
        self._connections[self._last_port, service] = connection
        connection.connect(asyncio.get_running_loop().time())
        return connection

    def _remove_connection(self, connection: CallerConnection, service: Address) -> None:
        if not connection.is_closed:
            connection.abort()
        self._connections.pop((connection.local[1], service), None)

    async def _send_request(
        self, connection: CallerConnection, load: LoadConfig, result: FlowResult
    ) -> FlowResult:
        loop = asyncio.get_running_loop()
        self._last_number += 1
        number, size = self._last_number, load["answer_bytes"]
        sent_at = loop.time()
        connection.received.clear()
        connection.write(work.make_request(number, size), sent_at)
        await self._wait_until(
            connection,
            load["patience"],
            "silent",
            lambda: work.complete_answer_size(connection.received) is not None,
        )
        target = work.check_answer(bytes(connection.received), number, load["service"], size)
        if target is None or (result.target and target != result.target):
            raise FlowFailedError("wrong")
        slowest = max(result.slowest, loop.time() - sent_at)
        return result._replace(target=target, slowest=slowest, answered=result.answered + 1)

    async def _wait_until(
        self, connection: CallerConnection, patience: float, timeout_outcome: str, condition: Any
    ) -> None:
        try:
            async with asyncio.timeout(patience):
                while not condition():
                    if connection.was_reset:
                        raise FlowFailedError("reset" if connection.is_established else "refused")
                    connection.segment_arrived.clear()
                    await connection.segment_arrived.wait()
        except TimeoutError:
            raise FlowFailedError(timeout_outcome) from None

    def _send(self, segment: InnerSegment) -> None:
        self._send_datagram(wire.pack(segment), self._fabric)


async def run(config: dict[str, Any]) -> list[FlowResult]:
    """Run all loads of a configuration and return the results of their flows."""
    return await Callers(config).run()


if __name__ == "__main__":
    outcome = asyncio.run(run(json.loads(Path(sys.argv[1]).read_text())))
    Path(sys.argv[2]).write_text(json.dumps([result._asdict() for result in outcome]))
