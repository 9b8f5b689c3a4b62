"""Targets that warm up bear few new flows, from all entry hosts together."""

import random
import unittest

from checkin_fakes import check_in, configuration, entry, syn, update
from lacewingrudder_core.checkins import CheckInOutcome, Position, Registry
from lacewingrudder_core.notes import Evacuations
from lacewingrudder_core.routes import WarmupLimit
from lacewingrudder_core.tagging import Forwarded, Reset, ResetReason, TagForwarder

WARMUP_SECONDS = 2.0
WARMUPS = {"proofdesk": WarmupLimit(WARMUP_SECONDS, 0.0)}
HEARTBEAT_SECONDS = 1.2


def make_forwarder(zone: str = "adum", seed: int = 0, limits_warmup: bool = True) -> TagForwarder:
    forwarder = TagForwarder(zone, seed, limits_warmup)
    forwarder.configure(configuration()._replace(warmups=WARMUPS))
    return forwarder


class RegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = Registry(7, HEARTBEAT_SECONDS)

    def published_ms(self, now: float) -> list[int]:
        _, entries = self.registry.changes_since(Position(7, 0), now)
        return [row.warmup_remaining_ms for row in entries]

    def check_in(self, sequence: int, remaining_ms: int, now: float) -> CheckInOutcome:
        call = check_in(1, sequence)._replace(warmup_remaining_ms=remaining_ms)
        return self.registry.check_in(call, now)

    # Guards against targets that every host that starts takes for cold again.
    def test_subscribers_receive_the_warmup_that_remains(self) -> None:
        self.check_in(1, 2000, 0.0)
        self.assertEqual(self.published_ms(0.5), [1500])
        self.assertEqual(self.published_ms(5.0), [0])
        self.assertEqual(self.registry.current_entries(5.0)[0].warmup_remaining_ms, 0)

    def test_check_ins_during_one_warmup_publish_nothing(self) -> None:
        self.check_in(1, 2000, 0.0)
        before = self.registry.position
        self.assertIs(self.check_in(2, 800, 1.2), CheckInOutcome.RENEWED)
        self.assertIs(self.check_in(3, 0, 2.4), CheckInOutcome.RENEWED)
        self.assertEqual(self.registry.position, before)

    # Guards against flows to a target that became cold again under its identifier.
    def test_target_that_is_cold_again_is_published(self) -> None:
        self.check_in(1, 0, 0.0)
        before = self.registry.position
        self.assertIs(self.check_in(2, 2000, 30.0), CheckInOutcome.REGISTERED)
        self.assertGreater(self.registry.position, before)
        self.assertEqual(self.registry.last_removal, self.registry.position.number)
        self.assertEqual(self.published_ms(31.0), [1000])


class PlacementTest(unittest.TestCase):
    def place(self, forwarder: TagForwarder, count: int, now: float) -> set[int]:
        decisions = [forwarder.decide(syn(40000 + port), now) for port in range(count)]
        return {row.identity for row in decisions if isinstance(row, Forwarded)}

    def start_with_cold_target(self, limits_warmup: bool) -> TagForwarder:
        forwarder = make_forwarder(limits_warmup=limits_warmup)
        cold = entry(1)._replace(warmup_remaining_ms=2000)
        forwarder.apply_update(update(cold, entry(2)), 10.0)
        return forwarder

    def test_cold_target_gets_no_flow_until_it_is_warm(self) -> None:
        forwarder = self.start_with_cold_target(limits_warmup=True)
        self.assertEqual(self.place(forwarder, 30, 11.9), {2})
        self.assertIn(1, self.place(forwarder, 30, 12.0))

    def test_repeated_entry_does_not_prolong_a_warmup(self) -> None:
        forwarder = self.start_with_cold_target(limits_warmup=True)
        cold = entry(1, has_recent_heartbeat=False)._replace(warmup_remaining_ms=2000)
        forwarder.apply_update(update(cold, number=2, since=1), 11.9)
        again = cold._replace(has_recent_heartbeat=True)
        forwarder.apply_update(update(again, number=3, since=2), 11.95)
        self.assertIn(1, self.place(forwarder, 30, 12.0))

    # Guards against a change for deployments that didn't ask for the limit.
    def test_without_the_setting_a_cold_target_is_used_as_before(self) -> None:
        forwarder = self.start_with_cold_target(limits_warmup=False)
        self.assertEqual(self.place(forwarder, 30, 10.1), {1, 2})

    def test_flows_are_refused_at_once_while_all_targets_are_cold(self) -> None:
        forwarder = make_forwarder()
        cold = [entry(n)._replace(warmup_remaining_ms=2000) for n in (1, 2)]
        forwarder.apply_update(update(*cold), 10.0)
        self.assertEqual(forwarder.decide(syn(40001), 11.0), Reset(ResetReason.WARMING_UP))
        self.assertEqual(self.place(forwarder, 10, 12.0), {1, 2})

    # Guards against flows to targets that became cold without work, before they can say so.
    def test_targets_of_a_restored_zone_count_as_cold(self) -> None:
        forwarder = make_forwarder()
        forwarder.apply_update(update(entry(1, zone="suame"), entry(2)), 0.0)
        for revision, zones, now in ((1, ("suame",), 10.0), (2, (), 20.0)):
            message = update()._replace(evacuations=Evacuations(revision, zones))
            forwarder.apply_update(message, now)
        self.assertEqual(self.place(forwarder, 60, 20.0 + WARMUP_SECONDS - 0.01), {2})
        self.assertIn(1, self.place(forwarder, 60, 20.0 + WARMUP_SECONDS))

    # Guards against placement whose time grows with the targets that are left out.
    def test_cold_targets_are_not_looked_at(self) -> None:
        forwarder = make_forwarder()
        cold = [entry(n)._replace(warmup_remaining_ms=2000) for n in range(2, 500)]
        forwarder.apply_update(update(entry(1), *cold), 10.0)
        found = forwarder._target_index.candidates("proofdesk", 11.0)
        self.assertEqual([row.entry.identity for row in found.targets], [1])


class RefusalTest(unittest.TestCase):
    # Guards against a refusal for another reason than the one that looking at all targets gives.
    def test_reason_is_that_of_the_targets_that_are_left_out(self) -> None:
        rng = random.Random(8)
        forwarder = make_forwarder()
        reasons = set()
        for number in range(1, 400):
            now = 0.3 * number
            target = rng.randrange(1, 5)
            changed = entry(target, zone="adum" if target % 2 else "suame", sequence=number)
            changed = changed._replace(warmup_remaining_ms=rng.choice((0, 0, 2000)))
            zones = tuple(zone for zone in ("adum", "suame") if rng.random() < 0.6)
            message = update(changed, number=number, since=number - 1)
            forwarder.apply_update(message._replace(evacuations=Evacuations(number, zones)), now)
            exclusions = forwarder._target_index.exclusions("proofdesk", now).values()
            decision = forwarder.decide(syn(1024 + number), now)
            if isinstance(decision, Reset):
                reasons.add(decision.reason)
                expected = ResetReason.NO_TARGET
                if "warming_up" in exclusions:
                    expected = ResetReason.WARMING_UP
                self.assertEqual(decision.reason, expected)
        self.assertEqual(reasons, {ResetReason.NO_TARGET, ResetReason.WARMING_UP})


class FleetTest(unittest.TestCase):
    """Many entry hosts learn late of targets that start, and of a zone that is restored."""

    def test_no_host_places_flows_on_a_target_while_it_is_cold(self) -> None:
        for host_count in (2, 13, 70):
            for seed in range(5):
                with self.subTest(host_count=host_count, seed=seed):
                    self.play(host_count, random.Random(seed))

    def play(self, host_count: int, rng: random.Random) -> None:
        hosts = [make_forwarder("adum", seed) for seed in range(host_count)]
        warm = [entry(n, zone="adum" if n % 2 else "suame") for n in range(1, 9)]
        cold = entry(9, zone="suame")._replace(warmup_remaining_ms=2000)
        evacuated = Evacuations(1, ("suame",))
        first = update(*warm)._replace(evacuations=evacuated)
        second = update(cold, number=2, since=1)._replace(evacuations=Evacuations(2))
        for host in hosts:
            host.apply_update(first, 0.0)
        learns_at = [10.0 + 3.0 * rng.random() for _ in hosts]
        cold_until = 10.0 + WARMUP_SECONDS
        port = 1024
        for now in (9.0 + 0.25 * step for step in range(40)):
            for host, at in zip(hosts, learns_at, strict=True):
                if at <= now:
                    host.apply_update(second, now)
                port += 1
                placed = host.decide(syn(port % 60000), now)
                assert isinstance(placed, Forwarded)
                if now < cold_until:
                    self.assertIn(placed.identity, (1, 3, 5, 7))
