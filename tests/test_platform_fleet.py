import json
import signal
import socket
import time
import unittest

from lacewingrudder_core._tagging.core import DISCOVERY_TIMEOUT_SECONDS
from platform_fleet import (
    CALL_PORT,
    CALLER,
    CONTROLS,
    ENTRIES,
    PACKET_PORT,
    READY_PORT,
    PlatformFleet,
    http_request,
    make_configuration,
    make_packet,
    wait_for_status,
)

from standins.platform import ACK, GRACE_SECONDS, RST, SYN, read_packet, split_identity

CONFIG_PATH = "/lacewingrudder/config"
TARGET_PATH = "/lacewingrudder/instances/i-7f3a91c2"
READY_PATH = "/lacewingrudder/readyz"


def open_udp_socket(address: str, port: int = 0) -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.bind((address, port))
    udp_socket.settimeout(5)
    return udp_socket


class PlatformFleetTest(unittest.TestCase):
    """Processes of three control hosts and two entry hosts, with one target and one caller."""

    def setUp(self) -> None:
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.close)
        self.target = open_udp_socket("127.0.4.1")
        self.addCleanup(self.target.close)
        self.caller = open_udp_socket(CALLER, PACKET_PORT)
        self.addCleanup(self.caller.close)
        self.sequence = 0

    def check_in_body(self, state: str) -> dict[str, str | int]:
        self.sequence += 1
        return {
            "service": "a",
            "address": f"127.0.4.1:{self.target.getsockname()[1]}",
            "zone": "z",
            "version": "v1",
            "concurrency": 3,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
            "born": 1000,
        }

    def check_in(self, state: str = "ready") -> None:
        body = self.check_in_body(state)
        wait_for_status(200, CONTROLS, CALL_PORT, "PUT", TARGET_PATH, body)

    def set_up_service(self) -> None:
        """Submit a configuration, check a target in and wait until the entry hosts know both.

        A check-in is answered before the entry hosts are told of the target, up to 0.2 s later.
        """
        wait_for_status(200, CONTROLS, CALL_PORT, "PUT", CONFIG_PATH, make_configuration(3))
        self.check_in()
        for entry in ENTRIES:
            wait_for_status(200, (entry,), READY_PORT, "GET", READY_PATH)
            self.wait_for_event("target_changed", (entry,), 1.0)

    def wait_for_event(self, event: str, addresses: tuple[str, ...], seconds: float) -> str:
        """Wait until a host has logged an event; return the logs of the hosts."""
        deadline = time.monotonic() + seconds
        logs = ""
        while f'"event": "{event}"' not in logs:
            self.assertLess(time.monotonic(), deadline, f"no {event} in: {logs}")
            time.sleep(0.02)
            logs = "".join(self.fleet.log(address) for address in addresses)
        return logs

    def send(self, entry: str, data: bytes) -> None:
        self.caller.sendto(data, (entry, PACKET_PORT))

    def receive_at_target(self) -> tuple[int, int]:
        """Receive a forwarded packet; return the identifier of its target and its flow tag."""
        identity, data = split_identity(self.target.recv(2048))
        received = read_packet(data)
        self.assertTrue(received.is_genuine)
        return identity, received.packet.echo

    def test_flow_continues_through_another_entry_host_after_a_kill(self) -> None:
        self.set_up_service()
        self.send(ENTRIES[0], make_packet(40001, SYN))
        identity, tag = self.receive_at_target()
        self.assertEqual(identity, 0x7F3A91C2)
        self.assertNotEqual(tag, 0)
        self.fleet.kill(ENTRIES[0])
        self.send(ENTRIES[1], make_packet(40001, ACK, tag, b"x"))
        self.assertEqual(self.receive_at_target(), (identity, tag))

    def test_target_that_answers_no_syn_is_reported_as_silent_before_its_heartbeats_are_missed(
        self,
    ) -> None:
        self.set_up_service()
        for port, entry in enumerate((*ENTRIES, *ENTRIES), 40001):
            self.send(entry, make_packet(port, SYN))
            time.sleep(0.1)
        logs = self.wait_for_event("target_reported_silent", CONTROLS, 1.0)
        self.assertNotIn("message_rejected", logs)

    def test_draining_target_gets_no_new_flow_and_callers_are_reset_at_once(self) -> None:
        self.set_up_service()
        time.sleep(DISCOVERY_TIMEOUT_SECONDS)
        self.check_in("draining")
        for entry in ENTRIES:
            self.send(entry, make_packet(40002, SYN))
            reset = read_packet(self.caller.recv(2048)).packet
            self.assertEqual((reset.flags, reset.destination_port), (RST, 40002))

    def test_call_that_was_accepted_is_answered_though_the_control_host_is_told_to_stop(
        self,
    ) -> None:
        self.set_up_service()
        self.fleet.kill(ENTRIES[1])
        body = json.dumps(self.check_in_body("draining")).encode()
        head = f"PUT {TARGET_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        with socket.create_connection((CONTROLS[0], CALL_PORT), 5) as call:
            call.sendall(head.encode() + body)
            time.sleep(0.1)
            self.fleet.processes[CONTROLS[0]].send_signal(signal.SIGTERM)
            answer = b"".join(iter(lambda: call.recv(4096), b""))
        self.assertRegex(answer, rb"^HTTP/1.1 (200|503)")
        self.assertEqual(self.fleet.processes[CONTROLS[0]].wait(10), 0)

    def test_configuration_survives_a_kill_of_all_processes(self) -> None:
        self.set_up_service()
        wait_for_status(200, CONTROLS, CALL_PORT, "PUT", CONFIG_PATH, make_configuration(9, "b"))
        for address in (*CONTROLS, *ENTRIES):
            self.fleet.kill(address)
        for address in (*CONTROLS, *ENTRIES):
            self.fleet.start(address)
        self.assertEqual(
            json.loads(wait_for_status(200, CONTROLS, CALL_PORT, "GET", CONFIG_PATH))["version"], 9
        )
        self.check_in()
        for entry in ENTRIES:
            wait_for_status(200, (entry,), READY_PORT, "GET", READY_PATH)

    def test_minority_of_control_hosts_refuses_reads_and_new_configurations(self) -> None:
        self.set_up_service()
        for address in CONTROLS[1:]:
            self.fleet.kill(address)
        wait_for_status(503, CONTROLS[:1], CALL_PORT, "GET", CONFIG_PATH)
        wait_for_status(503, CONTROLS[:1], CALL_PORT, "PUT", CONFIG_PATH, make_configuration(4))
        self.assertEqual(
            http_request(CONTROLS[0], CALL_PORT, "PUT", CONFIG_PATH, make_configuration(2))[0], 200
        )

    def test_graceful_shutdown_forwards_until_it_exits_with_code_0(self) -> None:
        self.set_up_service()
        process = self.fleet.processes[ENTRIES[0]]
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        wait_for_status(503, ENTRIES[:1], READY_PORT, "GET", READY_PATH)
        self.send(ENTRIES[0], make_packet(40003, SYN))
        self.assertEqual(self.receive_at_target()[0], 0x7F3A91C2)
        self.assertEqual(process.wait(10), 0)
        self.assertIn('"event": "stopped"', self.fleet.log(ENTRIES[0]))

    # Guards against packets that are lost because the routers have not yet seen that a host leaves.
    def test_leaving_host_forwards_as_long_as_packets_arrive(self) -> None:
        self.set_up_service()
        process = self.fleet.processes[ENTRIES[0]]
        self.send(ENTRIES[0], make_packet(40004, SYN))
        identity, tag = self.receive_at_target()
        process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        while time.monotonic() < began + 4.0:
            self.send(ENTRIES[0], make_packet(40004, ACK, tag, b"x"))
            self.assertEqual(self.receive_at_target(), (identity, tag))
            time.sleep(0.05)
        self.assertEqual(process.wait(10), 0)
        self.assertLess(time.monotonic() - began, GRACE_SECONDS)
