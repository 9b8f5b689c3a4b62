"""Hosts that are paused for seconds, and find what was sent to them meanwhile."""

import signal
import socket
import time

from platform_fleet import (
    CALL_PORT,
    CONTROLS,
    ENTRIES,
    PlatformFleetTestCase,
    make_packet,
    wait_for_status,
)

from standins.platform import RST, SYN, read_packet, split_identity

PORT = 40001
EVACUATION_PATH = "/lacewingrudder/evacuations/z"
CALL_TIMEOUT_SECONDS = 1.0
PUBLICATION_SECONDS = 1.0


class StoppedEntryHostTest(PlatformFleetTestCase):
    """An entry host is stopped and continued by signals."""

    receive_timeout_seconds = 0.5

    def setUp(self) -> None:
        super().setUp()
        self.serve()
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

    # Guards against open flows that are reset after an entry host that was paused has forwarded
    # old SYNs: their targets answer, too, and the callers' packets then name the wrong target.
    def test_syns_from_before_a_host_resumed_reach_no_target(self) -> None:
        process = self.fleet.processes[ENTRIES[0]]
        process.send_signal(signal.SIGSTOP)
        for number in range(1, 6):
            self.send(ENTRIES[0], make_packet(PORT + number, SYN))
        time.sleep(1.0)
        process.send_signal(signal.SIGCONT)
        time.sleep(0.5)
        self.assertEqual(self.receive_syn(ENTRIES[0], PORT + 9), PORT + 9)
        self.assertIn("expired_syn", self.fleet.log(ENTRIES[0]))


class StoppedControlHostTest(PlatformFleetTestCase):
    """A control host is stopped while an operator gives up its calls to it."""

    receive_timeout_seconds = 0.5

    def give_up(self, control: str, method: str) -> None:
        """Send an order, and close the connection without an answer."""
        request = f"{method} {EVACUATION_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
        with socket.create_connection((control, CALL_PORT), 5) as call:
            call.sendall(request.encode())
            time.sleep(CALL_TIMEOUT_SECONDS)

    def order(self, method: str) -> None:
        wait_for_status(200, CONTROLS[:2], CALL_PORT, method, EVACUATION_PATH)

    # Guards against a confirmed evacuation that is undone by a withdrawal which its operator gave
    # up: the control host that it was sent to was paused, and carries it out seconds later.
    def test_withdrawal_that_was_given_up_undoes_no_later_evacuation(self) -> None:
        self.serve()
        self.order("POST")
        stopped = self.fleet.processes[CONTROLS[2]]
        stopped.send_signal(signal.SIGSTOP)
        self.give_up(CONTROLS[2], "DELETE")
        self.order("DELETE")
        time.sleep(PUBLICATION_SECONDS)
        self.order("POST")
        stopped.send_signal(signal.SIGCONT)
        time.sleep(2 * PUBLICATION_SECONDS)
        self.send(ENTRIES[0], make_packet(PORT, SYN))
        reset = read_packet(self.caller.recv(2048)).packet
        self.assertEqual((reset.flags, reset.destination_port), (RST, PORT))
        self.assertIn("http_call_abandoned", self.fleet.log(CONTROLS[2]))
