"""How long packets may have waited in a socket, as seen by a host that was paused."""

import asyncio
import socket
import time
import unittest

from lacewingrudder_daemon._packets.datagrams import MAX_BATCH_DATAGRAMS
from lacewingrudder_daemon._packets.packet_socket import CHECK_INTERVAL_SECONDS, PacketSocket

LOCAL = "127.0.0.1"


class PacketSocketTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.offset = 0.0
        self.pause_at = b""
        self.received: list[tuple[bytes, float]] = []
        self.socket = PacketSocket(self.receive, self.read_clock)
        self.addCleanup(self.socket.close)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((LOCAL, 0))
            self.address = probe.getsockname()
        self.socket.open(self.address)

    def read_clock(self) -> float:
        return time.monotonic() + self.offset

    def receive(self, data: bytes, _sender: tuple[str, int], waited_seconds: float) -> None:
        self.received.append((data, waited_seconds))
        if data == self.pause_at:
            self.offset += 3.0

    def send(self, *packets: bytes) -> None:
        for data in packets:
            self.sender.sendto(data, self.address)

    async def wait_for(self, count: int) -> None:
        async with asyncio.timeout(5):
            while len(self.received) < count:
                await asyncio.sleep(0.001)

    # Guards against old packets that are taken for new ones after a host was paused.
    async def test_packets_that_came_while_the_process_was_paused_are_old(self) -> None:
        await asyncio.sleep(2 * CHECK_INTERVAL_SECONDS)
        self.send(b"old")
        time.sleep(0.5)
        self.send(b"new")
        await self.wait_for(2)
        self.assertEqual([data for data, _ in self.received], [b"old", b"new"])
        self.assertGreaterEqual(self.received[0][1], 0.5)

    # Guards against the same if only the clock that counts the suspended time shows it.
    async def test_packets_that_came_while_the_host_was_suspended_are_old(self) -> None:
        await asyncio.sleep(2 * CHECK_INTERVAL_SECONDS)
        self.send(b"old")
        self.offset += 3.0
        await self.wait_for(1)
        self.assertGreaterEqual(self.received[0][1], 3.0)

    # Guards against the same for packets that were read, but not handled before the pause.
    async def test_packets_that_were_read_before_a_pause_are_old(self) -> None:
        await asyncio.sleep(2 * CHECK_INTERVAL_SECONDS)
        self.pause_at = b"1"
        self.send(b"0", b"1", b"2")
        time.sleep(0.01)  # so that one read finds all of them
        await self.wait_for(3)
        self.assertLess(self.received[1][1], 3.0)
        self.assertGreaterEqual(self.received[2][1], 3.0)

    # Guards against a host with few packets that takes each of them for an old one.
    async def test_packet_after_a_pause_between_packets_is_new(self) -> None:
        for _ in range(3):
            await asyncio.sleep(0.3)
            self.send(b"x")
        await self.wait_for(3)
        self.assertLess(min(waited for _, waited in self.received), 0.15)

    async def test_all_packets_are_handled_in_their_order_in_bounded_batches(self) -> None:
        packets = [b"%d" % number for number in range(3 * MAX_BATCH_DATAGRAMS + 5)]
        self.send(*packets)
        batches = []
        while len(self.received) < len(packets) and len(batches) < 1000:
            before = len(self.received)
            await asyncio.sleep(0)
            batches.append(len(self.received) - before)
        self.assertEqual([data for data, _ in self.received], packets)
        self.assertLessEqual(max(batches), 2 * MAX_BATCH_DATAGRAMS)

    async def test_nothing_is_handled_after_the_end(self) -> None:
        self.send(*(b"x" for _ in range(2 * MAX_BATCH_DATAGRAMS)))
        await self.wait_for(1)
        self.socket.close()
        count = len(self.received)
        await asyncio.sleep(2 * CHECK_INTERVAL_SECONDS)
        self.assertEqual(len(self.received), count)
