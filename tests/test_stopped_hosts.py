"""Hosts that stand still for seconds, and find what was sent to them meanwhile."""

import signal
import time

from platform_fleet import ENTRIES, PlatformFleetTestCase, make_configuration, make_packet

from standins.platform import SYN, read_packet, split_identity

PORT = 40001


class StoppedEntryHostTest(PlatformFleetTestCase):
    """An entry host is stopped and continued by signals."""

    receive_timeout_seconds = 0.5

    def setUp(self) -> None:
        super().setUp()
        self.submit(make_configuration(3))
        self.check_in()
        for entry in ENTRIES:
            self.wait_until_ready(entry)
        while self.receive_syn(ENTRIES[0], PORT) != PORT:
            time.sleep(0.1)

    def receive_syn(self, entry: str, port: int) -> int:
        """Send a SYN; return the port of the next one that the target receives, 0 if none does."""
        self.send(entry, make_packet(port, SYN))
        try:
            _, data = split_identity(self.target.recv(2048))
        except TimeoutError:
            return 0
        return read_packet(data).packet.source_port

    # Guards against open flows that are reset after an entry host that stood still has sent old
    # SYNs on: their targets answer, too, and the callers' packets then name the wrong target.
    def test_syns_from_before_a_host_went_on_reach_no_target(self) -> None:
        process = self.fleet.processes[ENTRIES[0]]
        process.send_signal(signal.SIGSTOP)
        for number in range(1, 6):
            self.send(ENTRIES[0], make_packet(PORT + number, SYN))
        time.sleep(1.0)
        process.send_signal(signal.SIGCONT)
        time.sleep(0.5)
        self.assertEqual(self.receive_syn(ENTRIES[0], PORT + 9), PORT + 9)
        self.assertIn("expired_syn", self.fleet.log(ENTRIES[0]))
