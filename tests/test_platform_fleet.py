import json
import signal
import socket
import time

from lacewingrudder_core._tagging.core import DISCOVERY_TIMEOUT_SECONDS
from platform_fleet import (
    CALL_PORT,
    CONFIG_PATH,
    CONTROLS,
    ENTRIES,
    READY_PATH,
    READY_PORT,
    TARGET_PATH,
    PlatformFleetTestCase,
    http_request,
    make_configuration,
    make_packet,
    wait_for_status,
)

from standins.platform import ACK, GRACE_SECONDS, RST, SYN, read_packet, split_identity

EVACUATION_PATH = "/lacewingrudder/evacuations/z"

MAX_POLL_SECONDS = 1.0
"""Entry hosts poll each control host twice a second."""


class PlatformFleetTest(PlatformFleetTestCase):
    """Processes of three control hosts and two entry hosts, with one target and one caller."""

    def set_up_service(self) -> None:
        """Submit a configuration, check a target in and wait until the entry hosts know both.

        A check-in is answered before the entry hosts are told of the target, up to 0.2 s later.
        """
        self.serve()
        for entry in ENTRIES:
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

    def receive_at_target(self) -> tuple[int, int]:
        """Receive a forwarded packet; return the identifier of its target and its flow tag."""
        identity, data = split_identity(self.target.recv(2048))
        received = read_packet(data)
        self.assertTrue(received.is_genuine)
        return identity, received.packet.echo

    def test_flow_continues_through_another_entry_host_after_a_kill(self) -> None:
        self.set_up_service()
        self.send(ENTRIES[0], make_packet(40001, SYN))
        identity, syn_tag = self.receive_at_target()
        self.assertEqual(identity, 0x7F3A91C2)
        self.assertNotEqual(syn_tag, 0)
        self.fleet.kill(ENTRIES[0])
        self.send(ENTRIES[1], make_packet(40001, ACK, syn_tag, b"x"))
        received, tag = self.receive_at_target()
        self.assertEqual(received, identity)
        self.assertNotIn(tag, (0, syn_tag))
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
        self.submit(make_configuration(9, "b"))
        for address in (*CONTROLS, *ENTRIES):
            self.fleet.kill(address)
        for address in (*CONTROLS, *ENTRIES):
            self.fleet.start(address)
        self.assertEqual(
            json.loads(wait_for_status(200, CONTROLS, CALL_PORT, "GET", CONFIG_PATH))["version"], 9
        )
        self.check_in()
        for entry in ENTRIES:
            self.wait_until_ready(entry)

    # Guards against a confirmed evacuation that is forgotten when all processes are killed at once.
    def test_evacuation_survives_a_kill_of_all_processes_until_the_zone_is_restored(self) -> None:
        self.set_up_service()
        time.sleep(DISCOVERY_TIMEOUT_SECONDS)
        wait_for_status(200, CONTROLS, CALL_PORT, "POST", EVACUATION_PATH)
        self.wait_for_event("evacuations_in_force", ENTRIES[:1], MAX_POLL_SECONDS)
        for address in (*CONTROLS, *ENTRIES):
            self.fleet.kill(address)
        for address in (*CONTROLS, *ENTRIES):
            self.fleet.start(address)
        self.check_in()
        for number, entry in enumerate(ENTRIES):
            self.wait_until_ready(entry)
            time.sleep(DISCOVERY_TIMEOUT_SECONDS)
            self.send(entry, make_packet(40002 + number, SYN))
            reset = read_packet(self.caller.recv(2048)).packet
            self.assertEqual((reset.flags, reset.destination_port), (RST, 40002 + number))
        wait_for_status(200, CONTROLS, CALL_PORT, "DELETE", EVACUATION_PATH)
        time.sleep(MAX_POLL_SECONDS)
        self.send(ENTRIES[0], make_packet(40010, SYN))
        self.assertEqual(self.receive_at_target()[0], 0x7F3A91C2)

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
        identity, syn_tag = self.receive_at_target()
        self.send(ENTRIES[0], make_packet(40004, ACK, syn_tag, b"x"))
        received, tag = self.receive_at_target()
        self.assertEqual(received, identity)
        process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        while time.monotonic() < began + 4.0:
            self.send(ENTRIES[0], make_packet(40004, ACK, tag, b"x"))
            self.assertEqual(self.receive_at_target(), (identity, tag))
            time.sleep(0.05)
        self.assertEqual(process.wait(10), 0)
        self.assertLess(time.monotonic() - began, GRACE_SECONDS)
