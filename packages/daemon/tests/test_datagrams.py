import asyncio
import socket
import unittest

from lacewingrudder_daemon._packets.datagrams import MAX_BATCH_DATAGRAMS, DatagramSocket

LOCAL = "127.0.0.1"


class DatagramSocketTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.received: list[bytes] = []
        self.socket = DatagramSocket(lambda data, _: self.received.append(data))
        self.addCleanup(self.socket.close)
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(self.sender.close)

    def free_port(self) -> int:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((LOCAL, 0))
            return int(probe.getsockname()[1])

    async def test_one_loop_iteration_reads_a_bounded_batch_and_the_next_continues(self) -> None:
        port = self.free_port()
        self.socket.open((LOCAL, port))
        for number in range(MAX_BATCH_DATAGRAMS + 5):
            self.sender.sendto(b"%d" % number, (LOCAL, port))
        batches = []
        while len(self.received) < MAX_BATCH_DATAGRAMS + 5 and len(batches) < 100:
            before = len(self.received)
            await asyncio.sleep(0)
            batches.append(len(self.received) - before)
        self.assertEqual(self.received, [b"%d" % n for n in range(MAX_BATCH_DATAGRAMS + 5)])
        self.assertEqual(max(batches), MAX_BATCH_DATAGRAMS)

    async def test_datagram_that_the_kernel_rejects_is_reported_without_raising(self) -> None:
        self.assertFalse(self.socket.send(b"x", (LOCAL, 9)))
        self.socket.open((LOCAL, self.free_port()))
        self.assertFalse(self.socket.send(b"x" * 70_000, (LOCAL, 9)))

    async def test_address_in_use_is_an_error(self) -> None:
        port = self.free_port()
        self.socket.open((LOCAL, port))
        with self.assertRaises(OSError):
            DatagramSocket(lambda data, sender: None).open((LOCAL, port))
