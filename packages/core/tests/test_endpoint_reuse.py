"""A target's address that comes back under another service never gets the former one's packets."""

import unittest

from lacewingrudder_core import flows
from lacewingrudder_core._flows.core import TARGET_MOVED
from lacewingrudder_core._targets.quarantine import QUARANTINE_SECONDS
from lacewingrudder_core.admission import AdmitAll
from lacewingrudder_core.entry import EntryCore, PeerMessage, Tick
from lacewingrudder_core.messages import TargetsInUse
from lacewingrudder_core.routing import HealthTracker, TablePlacement, build_view
from lacewingrudder_core.targets import Announced, AnnounceReply, Rejected
from lacewingrudder_core.types import Endpoint, Member, TargetRecord, TargetState, Verdict
from target_fakes import CATALOGUE, CHART, announcement, proof_target, sheet_target
from test_view import EDITS

CALLER = Endpoint(0xC0000201, 5001)
ME = Member("entry-1", "adum", 1, Endpoint(0x7F000001, 1), Endpoint(0x7F000001, 2))
PROOF = proof_target()
SHEET = sheet_target(incarnation=2)
TARGET = Endpoint(PROOF.address, 9000)


def arrived(
    source: Endpoint, destination: Endpoint, flags: int, seq: int, ack: int, size: int = 0
) -> flows.SegmentArrived:
    segment = flows.Segment(source, destination, flags, seq, ack, size)
    return flows.SegmentArrived(segment, flows.Stage.FABRIC, "", b"packet")


OPENING = (
    arrived(CALLER, EDITS, flows.SYN, 100, 0),
    arrived(TARGET, CALLER, flows.SYN | flows.ACK, 900, 101),
    arrived(CALLER, EDITS, flows.ACK, 101, 901),
)
REQUEST = arrived(CALLER, EDITS, flows.ACK, 101, 901, 64)


class FlowsOnMovedEndpointTest(unittest.TestCase):
    def setUp(self) -> None:
        proof = TargetRecord(PROOF, TargetState.SERVING, 1, 0.0, ME.name)
        sheet = TargetRecord(SHEET, TargetState.SERVING, 1, 0.0, ME.name)
        self.before = build_view([ME], CATALOGUE, [proof])
        self.after = build_view([ME], CATALOGUE, [sheet])
        self.core = flows.FlowCore(
            ME.name, self.before, AdmitAll(), TablePlacement(), HealthTracker()
        )
        for event in OPENING:
            self.core.handle(event, 1.0)

    def test_flows_left_over_are_ended_with_a_verdict(self) -> None:
        self.core.handle(REQUEST, 1.0)
        effects = self.core.handle(flows.ViewChanged(self.after), 2.0)
        verdicts = [e for e in effects if isinstance(e, flows.VerdictReached)]
        self.assertEqual(
            [(v.verdict, v.reason) for v in verdicts], [(Verdict.MAY_HAVE_RUN, TARGET_MOVED)]
        )
        resets = [e for e in effects if isinstance(e, flows.Reset)]
        self.assertEqual([e.destination for e in resets], [CALLER])

    def test_no_later_packet_reaches_the_other_service(self) -> None:
        self.core.handle(flows.ViewChanged(self.after), 2.0)
        effects = self.core.handle(REQUEST, 2.0)
        self.assertFalse([e for e in effects if isinstance(e, flows.ToTarget)])

    def test_flows_stay_while_the_target_is_only_lost(self) -> None:
        lost = TargetRecord(PROOF, TargetState.LOST, 2, 0.0, ME.name)
        view = build_view([ME], CATALOGUE, [lost])
        self.assertEqual(self.core.handle(flows.ViewChanged(view), 2.0), [])
        self.assertEqual(self.core.handle(REQUEST, 2.0), [flows.ToTarget(TARGET)])


class ClaimTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 10.0
        self.core = EntryCore(ME, (), CHART, CATALOGUE)
        self.run_for(2.0)
        self.announce(announcement(PROOF, 1))
        for event in OPENING:
            self.core.handle(event, self.now)
        self.assertEqual(self.core.flow_count, 1)

    def run_for(self, seconds: float) -> list[object]:
        effects: list[object] = []
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            effects += self.core.handle(Tick(), self.now)
        return effects

    def announce(self, sent: object) -> str:
        effects = self.core.handle(Announced(1, sent), self.now)  # type: ignore[arg-type]
        outcome = next(e.outcome for e in effects if isinstance(e, AnnounceReply))
        return outcome.reason if isinstance(outcome, Rejected) else ""

    def test_address_is_refused_while_a_flow_of_this_host_lasts(self) -> None:
        for _ in range(3):
            self.run_for(QUARANTINE_SECONDS)
            self.core.handle(arrived(TARGET, CALLER, flows.ACK, 901, 101), self.now)
            self.assertIn("may still have its flows", self.announce(announcement(SHEET, 1)))
        self.core.handle(arrived(CALLER, EDITS, flows.RST, 101, 901), self.now)
        self.run_for(2 * QUARANTINE_SECONDS)
        self.assertEqual(self.announce(announcement(SHEET, 1)), "")

    def test_address_is_refused_while_another_host_claims_it(self) -> None:
        self.core.handle(arrived(CALLER, EDITS, flows.RST, 101, 901), self.now)
        for _ in range(10):
            self.run_for(QUARANTINE_SECONDS / 2)
            self.core.handle(PeerMessage("entry-2", TargetsInUse((PROOF.name,))), self.now)
        self.assertIn("may still have its flows", self.announce(announcement(SHEET, 1)))
