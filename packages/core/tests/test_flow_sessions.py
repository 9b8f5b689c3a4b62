"""Replays session scripts and compares all effects of the hosts with the recorded ones."""

import unittest
from pathlib import Path

from flow_session import SERVICE, Session, run_session
from lacewingrudder_core import flows
from lacewingrudder_core._flows.core import MAX_LOOKUPS_PER_SECOND
from lacewingrudder_core._flows.search import MAX_SEARCHES
from lacewingrudder_core.types import Endpoint

FOLDER = Path(__file__).parent / "sessions"


class FlowSessionTest(unittest.TestCase):
    maxDiff = None

    def replay(self, name: str) -> Session:
        text = (FOLDER / f"{name}.txt").read_text()
        session = run_session(text)
        self.assertEqual("\n".join(session.log) + "\n", text)
        split_flows = {
            flow: targets for flow, targets in session.payload_targets.items() if len(targets) > 1
        }
        self.assertEqual(split_flows, {}, "payload of one incarnation reached two targets")
        return session

    def test_kill_of_the_home_mid_flow(self) -> None:
        self.replay("kill_of_home")

    def test_kill_of_the_home_and_a_second_later_of_its_successor(self) -> None:
        self.replay("kill_of_home_and_successor")

    def test_kill_while_a_target_drains(self) -> None:
        self.replay("kill_while_target_drains")

    def test_kill_before_the_pin_was_sent(self) -> None:
        self.replay("kill_before_pin_sent")

    def test_host_that_joins_with_an_older_generation(self) -> None:
        self.replay("join_with_older_generation")

    def test_two_membership_views_at_once(self) -> None:
        self.replay("two_views")

    def test_zone_partition_and_heal_with_the_flow_on_both_sides(self) -> None:
        self.replay("zone_cut_and_heal")

    def test_release_note_changes_targets_while_a_host_restarts(self) -> None:
        self.replay("note_while_host_restarts")

    def test_reuse_of_a_port_at_once_after_the_close(self) -> None:
        self.replay("reuse_after_close")

    def test_reuse_of_a_port_while_the_flow_is_open(self) -> None:
        self.replay("reuse_while_open")

    def test_duplicate_syn_at_two_hosts(self) -> None:
        self.replay("duplicate_syn_at_two_hosts")

    def test_late_syn_at_a_new_home_is_dropped_for_the_established_flow(self) -> None:
        self.replay("late_syn_at_new_home")

    def test_pins_follow_the_home(self) -> None:
        self.replay("pins_follow_the_home")

    def test_pins_are_replicated_again_to_a_backup_that_restarted(self) -> None:
        self.replay("backup_restarts")

    def test_handshake_that_ends_at_a_new_home(self) -> None:
        self.replay("handshake_ends_at_new_home")

    def test_flows_continue_after_their_service_is_withdrawn(self) -> None:
        self.replay("service_withdrawn")

    def test_late_syn_ack_of_an_abandoned_target(self) -> None:
        self.replay("late_syn_ack")

    def test_home_moves_during_the_handshake(self) -> None:
        self.replay("home_moves_during_handshake")

    def test_refused_syn_goes_to_another_target(self) -> None:
        self.replay("refused_syn")

    def test_unanswered_syn_is_not_run(self) -> None:
        self.replay("unanswered_syn")

    def test_request_in_a_syn_may_have_run(self) -> None:
        self.replay("syn_with_payload")

    def test_no_flow_is_refused_while_another_host_may_be_its_home(self) -> None:
        self.replay("unanswered_in_new_view")

    def test_unresponsive_flow_is_reset_at_both_endpoints(self) -> None:
        self.replay("silent_flow")

    def test_idle_flow_is_probed_and_reset_when_probes_stay_unanswered(self) -> None:
        self.replay("idle_flow")

    def test_graceful_shutdown_hands_the_flow_over(self) -> None:
        self.replay("graceful_shutdown")

    def test_cancellation_is_forwarded_to_the_target(self) -> None:
        self.replay("cancelled_request")

    def test_unknown_flow_is_reset_after_all_targets_deny_it(self) -> None:
        self.replay("unknown_flow")

    def test_packets_of_unknown_flows_cause_bounded_lookups_and_probes(self) -> None:
        session = run_session("> hosts a:adum b:suame c:ahodwo\n> targets t1 t2 t3\n")
        for number in range(9000):
            source = Endpoint(0xC6130000 + number, 5001)
            session.deliver_segment("a", flows.Segment(source, SERVICE, flows.ACK, 1, 1, 50))
        lookups = [line for line in session.log if "as backup" in line]
        self.assertLessEqual(len(lookups), 3 * MAX_LOOKUPS_PER_SECOND)
        probes = [line for line in session.log if ": probe" in line]
        self.assertLessEqual(len(probes), 3 * MAX_SEARCHES)
        self.assertTrue(any("too_many_lookups" in line for line in session.log))

    def test_recorded_demo_resets_no_flow(self) -> None:
        session = self.replay("recorded_demo")
        effects = [line.split(": ", 1)[1] for line in session.log if line.startswith("  ")]
        self.assertFalse([line for line in effects if line.startswith(("reset", "verdict"))])
        self.assertEqual({line for line in effects if line.startswith("drop")}, {"drop held"})
        self.assertEqual(len(session.payload_targets), 2)
