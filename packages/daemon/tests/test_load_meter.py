import socket
import unittest

from lacewingrudder_daemon._packets.load_meter import backlog, measure


class LoadMeterTest(unittest.TestCase):
    def test_unread_packets_show_as_backlog_until_they_are_read(self) -> None:
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
        ):
            receiver.bind(("127.0.0.1", 0))
            self.assertEqual(backlog(receiver), 0.0)
            for _ in range(2000):
                sender.sendto(bytes(100), receiver.getsockname())
            self.assertGreater(backlog(receiver), 0.5)
            receiver.setblocking(False)
            with self.assertRaises(BlockingIOError):
                while True:
                    receiver.recv(200)
            self.assertLess(backlog(receiver), 0.5)

    def test_early_timer_counts_as_no_lag(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            self.assertEqual(measure(sock, -0.01).lag, 0.0)
