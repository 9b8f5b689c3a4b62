import unittest

from checkin_fakes import check_in, data, entry, syn, update
from lacewingrudder_core.checkins import (
    AwaitRefutation,
    CheckedIn,
    CheckInCore,
    CheckInEffect,
    CheckInOutcome,
    Expired,
    LifeState,
    Lifetime,
    Position,
    Registry,
    ReportedSilent,
    SendUpdate,
    SilenceQuery,
    SilenceQueryEnded,
    SilenceRefuted,
    SilenceReport,
    SilenceReported,
    Subscribed,
    Subscription,
    TargetEntry,
    Tick,
    Update,
)
from lacewingrudder_core.tagging import (
    SYN_ANSWER_TIMEOUT_SECONDS,
    Forwarded,
    TagForwarder,
)
from test_tagging import make_forwarder

HEARTBEAT_SECONDS = 1.2
LOCAL, SECOND_LOCAL, REMOTE = "10.1.0.10:7720", "10.1.0.11:7720", "10.2.0.10:7720"
TARGET = Lifetime("i-1", 1000)


class SilenceReportsTest(unittest.TestCase):
    """A control host with six targets that checked in at time 0, and three entry hosts."""

    def setUp(self) -> None:
        self.core = CheckInCore("me:1", "adum", Registry(7, HEARTBEAT_SECONDS))
        for number in range(1, 7):
            self.core.handle(CheckedIn(number, check_in(number)), 0.0)
        for host, zone in ((LOCAL, "adum"), (SECOND_LOCAL, "adum"), (REMOTE, "suame")):
            subscription = Subscription(host, zone, False, Position(0, 0), -1, False, True)
            self.core.handle(Subscribed(subscription), 0.0)

    def report(
        self, *hosts: str, lifetime: Lifetime = TARGET, at: float = 0.5, unanswered: float = 0.06
    ) -> list[CheckInEffect]:
        effects: list[CheckInEffect] = []
        for host in hosts:
            zone = "suame" if host == REMOTE else "adum"
            report = SilenceReport(lifetime, zone, unanswered)
            effects += self.core.handle(SilenceReported(host, report), at)
        return effects

    def end_query(self, lifetime: Lifetime = TARGET, at: float = 0.52) -> list[CheckInEffect]:
        return self.core.handle(SilenceQueryEnded(lifetime), at)

    def mark(self, number: int, at: float = 0.5) -> bool:
        lifetime = Lifetime(f"i-{number:x}", 1000)
        self.report(LOCAL, SECOND_LOCAL, REMOTE, lifetime=lifetime, at=at)
        return any(
            isinstance(effect, ReportedSilent) for effect in self.end_query(lifetime, at + 0.02)
        )

    def get_entry(self, lifetime: Lifetime = TARGET) -> TargetEntry:
        found = self.core.registry.get(lifetime)
        assert found is not None
        return found

    def test_target_that_several_hosts_report_is_published_as_unreachable(self) -> None:
        asked = self.report(LOCAL, SECOND_LOCAL, REMOTE)
        self.assertEqual(
            [effect.host for effect in asked if isinstance(effect, SendUpdate)],
            [LOCAL, SECOND_LOCAL],
        )
        self.assertIsInstance(asked[-1], AwaitRefutation)
        effects = self.end_query()
        self.assertIsInstance(effects[0], ReportedSilent)
        updates = [
            effect.body
            for effect in effects
            if isinstance(effect, SendUpdate) and isinstance(effect.body, Update)
        ]
        self.assertEqual(len(updates), 3)
        for body in updates:
            changed = {row.lifetime: row.has_recent_heartbeat for row in body.entries}
            self.assertFalse(changed[TARGET])

    def test_hosts_are_asked_for_answers_to_what_was_sent_after_the_last_unanswered_syn(
        self,
    ) -> None:
        self.report(LOCAL, SECOND_LOCAL, at=0.5)
        asked = self.report(REMOTE, at=0.6, unanswered=0.07)
        bodies = [effect.body for effect in asked if isinstance(effect, SendUpdate)]
        self.assertEqual({type(body) for body in bodies}, {SilenceQuery})
        for body in bodies:
            assert isinstance(body, SilenceQuery)
            self.assertAlmostEqual(body.seconds, 0.07)

    def test_reports_of_one_host_or_of_too_few_syns_are_no_evidence(self) -> None:
        self.assertEqual(self.report(LOCAL, LOCAL, LOCAL), [])
        self.assertEqual(self.report(LOCAL, REMOTE, lifetime=Lifetime("i-2", 1000)), [])

    def test_reports_of_other_zones_alone_are_no_evidence(self) -> None:
        for host in ("10.2.0.10:7720", "10.2.0.11:7720", "10.2.0.12:7720"):
            report = SilenceReport(TARGET, "suame", 0.06)
            self.assertEqual(self.core.handle(SilenceReported(host, report), 0.5), [])

    def test_syns_from_before_the_last_heartbeat_are_no_evidence(self) -> None:
        self.core.handle(CheckedIn(9, check_in(1, 2)), 0.48)
        self.assertEqual(self.report(LOCAL, SECOND_LOCAL, REMOTE, at=0.5), [])

    def test_impossible_times_are_ignored(self) -> None:
        for unanswered in (-1.0, 1e9, float("inf"), float("-inf"), float("nan")):
            effects = self.report(LOCAL, SECOND_LOCAL, REMOTE, unanswered=unanswered)
            self.assertEqual(effects, [], unanswered)

    def test_reports_of_unknown_and_ended_targets_are_ignored(self) -> None:
        self.core.handle(CheckedIn(9, check_in(1, 2, state=LifeState.GONE)), 0.1)
        for lifetime in (TARGET, Lifetime("i-99", 1000)):
            self.assertEqual(
                self.report(LOCAL, SECOND_LOCAL, REMOTE, lifetime=lifetime), [], lifetime
            )

    def test_one_answer_refutes_the_reports(self) -> None:
        self.report(LOCAL, SECOND_LOCAL, REMOTE)
        self.core.handle(SilenceRefuted(TARGET), 0.51)
        self.assertEqual(self.end_query(), [])
        self.assertEqual(self.report(LOCAL, SECOND_LOCAL, at=0.53), [])

    def test_heartbeat_during_the_query_is_an_answer(self) -> None:
        self.report(LOCAL, SECOND_LOCAL, REMOTE)
        self.core.handle(CheckedIn(9, check_in(1, 2)), 0.51)
        self.assertEqual(self.end_query(), [])
        self.assertTrue(self.get_entry().has_recent_heartbeat)

    def test_reported_target_gets_flows_again_from_its_next_heartbeat(self) -> None:
        self.assertTrue(self.mark(1))
        self.assertFalse(self.get_entry().has_recent_heartbeat)
        self.core.handle(CheckedIn(9, check_in(1, 2)), 1.2)
        self.assertTrue(self.get_entry().has_recent_heartbeat)

    def test_heartbeat_that_was_sent_before_the_reports_does_not_refute_them(self) -> None:
        self.core.handle(CheckedIn(9, check_in(1, 5)), 0.1)
        self.assertTrue(self.mark(1))
        self.core.handle(CheckedIn(10, check_in(1, 4)), 0.6)
        self.assertFalse(self.get_entry().has_recent_heartbeat)

    def test_reports_are_ignored_for_a_while_after_a_false_alarm(self) -> None:
        self.assertTrue(self.mark(1))
        self.core.handle(CheckedIn(9, check_in(1, 2)), 1.2)
        for at, is_marked in ((1.5, False), (11.5, True)):
            self.core.handle(CheckedIn(10, check_in(2, int(at * 10))), at - 0.3)
            self.assertEqual(self.mark(2, at), is_marked)

    def test_reports_take_away_at_most_a_third_of_a_service(self) -> None:
        self.assertEqual([self.mark(number) for number in (1, 2, 3)], [True, True, False])

    def test_only_two_targets_of_a_service_lose_at_most_one(self) -> None:
        for number in (7, 8):
            call = check_in(number, service="sheetroom")
            self.core.handle(CheckedIn(number, call), 0.0)
        self.assertEqual([self.mark(number) for number in (7, 8)], [True, False])

    def test_reported_target_that_stays_silent_does_not_expire_twice(self) -> None:
        self.mark(1)
        for number in range(2, 7):
            self.core.handle(CheckedIn(number, check_in(number, 2)), 3.0)
        effects = self.core.handle(Tick(), 3.7)
        self.assertFalse([effect for effect in effects if isinstance(effect, Expired)])

    def test_old_reports_are_forgotten(self) -> None:
        self.report(LOCAL, SECOND_LOCAL, at=0.5)
        self.core.handle(Tick(), 1.6)
        self.assertEqual(self.report(REMOTE, at=1.6), [])
        self.assertEqual(len(self.core._silence_reports._reports[TARGET]), 1)


class SilenceDetectionTest(unittest.TestCase):
    """An entry host reports the targets that leave SYNs unanswered."""

    def setUp(self) -> None:
        self.forwarder: TagForwarder = make_forwarder(entry(1))

    def open_flow(self, port: int, at: float, attempt: int = 0) -> int:
        decision = self.forwarder.decide(syn(port, attempt), at)
        assert isinstance(decision, Forwarded), decision
        return decision.tag

    def pop_reports(self, at: float) -> list[Lifetime]:
        return [report.lifetime for report in self.forwarder.pop_silent_targets(at)]

    def test_nothing_is_checked_before_the_first_syn(self) -> None:
        self.assertIsNone(self.forwarder.next_silence_check)
        self.assertEqual(self.pop_reports(9.0), [])

    def test_unanswered_syn_is_reported_after_the_timeout(self) -> None:
        self.open_flow(40001, 1.0)
        self.assertAlmostEqual(
            self.forwarder.next_silence_check or 0.0, 1.0 + SYN_ANSWER_TIMEOUT_SECONDS
        )
        self.assertEqual(self.pop_reports(1.0 + SYN_ANSWER_TIMEOUT_SECONDS / 2), [])
        reports = self.forwarder.pop_silent_targets(1.07)
        self.assertEqual([(row.lifetime, row.zone) for row in reports], [(TARGET, "adum")])
        self.assertAlmostEqual(reports[0].unanswered_seconds, 0.07)
        self.assertIsNone(self.forwarder.next_silence_check)

    def test_flow_that_was_opened_is_not_reported(self) -> None:
        tag = self.open_flow(40001, 1.0)
        self.forwarder.decide(data(40001, tag), 1.02)
        self.assertEqual(self.pop_reports(1.1), [])

    def test_answer_to_a_later_syn_refutes_the_silence(self) -> None:
        self.open_flow(40001, 1.0)
        tag = self.open_flow(40002, 1.01)
        self.forwarder.decide(data(40002, tag), 1.03)
        self.assertEqual(self.pop_reports(1.2), [])

    def test_late_answer_to_an_earlier_syn_refutes_nothing(self) -> None:
        tag = self.open_flow(40001, 1.0)
        self.open_flow(40002, 1.03)
        self.forwarder.decide(data(40001, tag), 1.04)
        self.assertEqual(self.pop_reports(1.2), [TARGET])
        query = SilenceQuery(TARGET, 0.17)
        self.assertFalse(self.forwarder.has_answered(query, 1.2))
        self.assertTrue(self.forwarder.has_answered(query._replace(seconds=0.21), 1.2))

    def test_many_unanswered_syns_are_reported_within_a_budget(self) -> None:
        for step in range(4000):
            self.open_flow(40001 + step, 1.0 + step / 1000)
        reports = [lifetime for step in range(50) for lifetime in self.pop_reports(1 + step / 10)]
        self.assertGreater(len(reports), 10)
        self.assertLess(len(reports), 110)

    def test_ended_target_is_not_reported(self) -> None:
        self.open_flow(40001, 1.0)
        ended = entry(1, LifeState.GONE, sequence=2)
        self.forwarder.apply_update(update(ended, number=2, since=1), 1.01)
        self.assertEqual(self.pop_reports(1.2), [])


class ReportedTargetTest(unittest.TestCase):
    def test_check_in_after_a_report_registers_the_target_again(self) -> None:
        registry = Registry(7, HEARTBEAT_SECONDS)
        registry.check_in(check_in(1), 0.0)
        self.assertIsNotNone(registry.mark_silent(TARGET, 0.5))
        self.assertIsNone(registry.mark_silent(TARGET, 0.6))
        self.assertEqual(registry.check_in(check_in(1, 2), 1.2), CheckInOutcome.REGISTERED)


if __name__ == "__main__":
    unittest.main()
