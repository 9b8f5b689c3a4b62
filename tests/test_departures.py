"""Targets that leave: their open flows are served until they have exited."""

import json
import socket
import time

from platform_fleet import (
    CALL_PORT,
    CONTROLS,
    ENTRIES,
    TARGET_PATH,
    TARGET_STARTED_MS,
    PlatformFleetTestCase,
    make_packet,
)

from standins.platform import ACK, RST, SYN, read_packet, split_identity

PORT = 40001
PACKET_INTERVAL_SECONDS = 0.1
MAX_RESET_DELAY_SECONDS = 2.0


class DepartureTest(PlatformFleetTestCase):
    """Processes of a fleet, and a target with an open flow that deregisters."""

    receive_timeout_seconds = 0.5

    def setUp(self) -> None:
        super().setUp()
        self.serve()
        self.tag = self.open_flow()

    def open_flow(self) -> int:
        """Open a flow through the first entry host; return its tag.

        The host resets the SYN while it doesn't know the target yet; then the next one is sent.
        """
        deadline = time.monotonic() + 5
        while time.monotonic() < deadline:
            self.send(ENTRIES[0], make_packet(PORT, SYN))
            try:
                return read_packet(split_identity(self.target.recv(2048))[1]).packet.echo
            except TimeoutError:
                self.assertEqual(read_packet(self.caller.recv(2048)).packet.flags, RST)
        raise AssertionError("no SYN reached the target")

    def is_forwarded(self) -> bool:
        """Send a packet of the flow; return whether it reached the target, not reset."""
        self.send(ENTRIES[0], make_packet(PORT, ACK, self.tag, b"x"))
        try:
            self.target.recv(2048)
        except TimeoutError:
            return False
        return True

    def assert_served(self, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.assertTrue(self.is_forwarded())
            time.sleep(PACKET_INTERVAL_SECONDS)

    def send_deregistration(self, control: str) -> socket.socket:
        body = json.dumps({"born": TARGET_STARTED_MS}).encode()
        head = f"DELETE {TARGET_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        call = socket.create_connection((control, CALL_PORT), 5)
        call.sendall(head.encode() + body)
        return call

    # Guards against resets of the open flows of a target whose confirmation was sent but lost.
    def test_flows_are_served_while_the_confirmation_has_not_arrived(self) -> None:
        self.check_in("draining")
        call = self.send_deregistration(CONTROLS[0])
        self.addCleanup(call.close)
        time.sleep(0.2)
        call.close()  # with the response unread, so that it never reaches the target
        self.assert_served(3.0)

    def test_flows_are_reset_soon_after_the_confirmation_arrived(self) -> None:
        self.check_in("draining")
        with self.send_deregistration(CONTROLS[0]) as call:
            self.assertRegex(call.recv(4096), rb"^HTTP/1.1 200")
        self.target.close()
        self.caller.settimeout(PACKET_INTERVAL_SECONDS)
        deadline = time.monotonic() + MAX_RESET_DELAY_SECONDS
        while True:
            self.send(ENTRIES[0], make_packet(PORT, ACK, self.tag, b"x"))
            try:
                reset = read_packet(self.caller.recv(2048)).packet
                break
            except TimeoutError:
                self.assertLess(time.monotonic(), deadline, "no reset")
        self.assertEqual(reset.destination_port, PORT)

    # Guards against resets of the flows of a target that runs on without a confirmation.
    def test_flows_are_served_while_a_target_without_a_confirmation_goes_on_checking_in(
        self,
    ) -> None:
        self.check_in("draining")
        call = self.send_deregistration(CONTROLS[0])
        self.addCleanup(call.close)
        time.sleep(0.2)
        call.close()
        for _ in range(12):
            self.check_in("draining")
            self.assert_served(1.0)

    # Guards against a confirmed leave without effect: new flows were placed on the exited target.
    def test_target_that_leaves_at_a_control_host_which_it_never_called_gets_no_new_flow(
        self,
    ) -> None:
        time.sleep(1.0)
        with self.send_deregistration(CONTROLS[1]) as call:
            self.assertRegex(call.recv(4096), rb"^HTTP/1.1 200")
        for port in range(PORT + 1, PORT + 5):
            for entry in ENTRIES:
                self.send(entry, make_packet(port, SYN))
                reset = read_packet(self.caller.recv(2048)).packet
                self.assertEqual((reset.flags, reset.destination_port), (RST, port))
