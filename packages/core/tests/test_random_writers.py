"""Random calls of writers that are no targets, beside living targets and restarted hosts."""

import random
import unittest

from checkin_fakes import check_in, configuration, data, syn
from lacewingrudder_core.checkins import (
    LifeState,
    Lifetime,
    Registry,
    Update,
    Views,
)
from lacewingrudder_core.tagging import Forwarded, TagForwarder, flow_tag

HEARTBEAT_SECONDS = 1.2
CONTROLS = ("10.0.0.1:7720", "10.2.0.42:7720")
TARGETS = (0x9046FF59E1, 0x9046FF59E2, 0xD7F7E75727)
STRANGER = 0x13A6E0B5F4
ADDRESSES = {name: number for number, name in enumerate((*TARGETS, STRANGER), 1)}
STARTED_MS = 1_790_140_875_511
OTHER_START_TIMES_MS = (0, STARTED_MS - 1, STARTED_MS + 1, 1 << 62)
SCHEDULES = 60
STEPS = 150
UNUSED_SERVICES = ("host-metrics", "", "PROOFDESK", "proofdesk ")
OPEN_FLOW_PORT = 40001


class Host:
    """A control host: its registry, and its views of what the other one publishes."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.views = Views()
        self.epoch = 1
        self.registry = self.make_registry()

    def make_registry(self) -> Registry:
        return Registry(self.epoch, HEARTBEAT_SECONDS, self.views.find)

    def restart(self, keeps_disk: bool, is_outdated: bool, now: float) -> None:
        stored = self.registry.entries() if keeps_disk else []
        self.epoch += 1
        self.views = Views()
        self.registry = self.make_registry()
        self.registry.restore(stored, is_outdated, now)

    def receive(self, update: Update, now: float) -> None:
        self.views.apply_update(update, now)
        self.views.refresh(now)
        self.registry.merge_remote(update.entries, now)

    def publish(self) -> Update:
        position = self.registry.position
        return Update(self.name, position, 0, tuple(self.registry.entries()), -1, CONTROLS)


class Schedule:
    """Targets that live and check in; each step, other writers call or a control host restarts.

    :param has_copies: whether other writers also call under a target's identifier and start time,
        as a copy of its entry with another service does.
    """

    def __init__(self, seed: int, has_copies: bool = False) -> None:
        self.rng = random.Random(seed)
        self.start_times_ms = (*OTHER_START_TIMES_MS, *([STARTED_MS] if has_copies else []))
        self.hosts = [Host(name) for name in CONTROLS]
        self.forwarder = TagForwarder("adum")
        self.forwarder.configure(configuration())
        self.sequences = dict.fromkeys(TARGETS, 0)
        self.called_at = dict.fromkeys(TARGETS, float("-inf"))
        self.homes = {target: self.rng.choice(self.hosts) for target in TARGETS}
        self.now = 0.0

    def step(self) -> None:
        self.now += self.rng.uniform(0.0, 0.3)
        for target in TARGETS:
            if self.now - self.called_at[target] >= HEARTBEAT_SECONDS:
                self.beat(target)
        if self.rng.random() < 0.02:
            host = self.rng.choice(self.hosts)
            host.restart(self.rng.random() < 0.7, self.rng.random() < 0.3, self.now)
            for target in TARGETS:
                if self.homes[target] is host:
                    self.beat(target)
        elif self.rng.random() < 0.8:
            self.call_as_other_writer()
        self.exchange()

    def beat(self, target: int) -> None:
        self.called_at[target] = self.now
        self.sequences[target] += 1
        call = check_in(target, self.sequences[target], STARTED_MS, address=ADDRESSES[target])
        self.homes[target].registry.check_in(call, self.now)

    def call_as_other_writer(self) -> None:
        """Call with any fields but the service of a target; a removal names no service."""
        registry = self.rng.choice(self.hosts).registry
        name = self.rng.choice((*TARGETS, STRANGER))
        if self.rng.random() < 0.2:
            started_ms = self.rng.choice((None, *OTHER_START_TIMES_MS))
            registry.deregister(f"i-{name:x}", started_ms, self.now)
            return
        call = check_in(
            name,
            self.rng.choice((0, 1, 1 << 40)),
            self.rng.choice(self.start_times_ms),
            self.rng.choice((LifeState.READY, LifeState.DRAINING)),
            self.rng.choice(UNUSED_SERVICES),
            self.rng.choice(sorted(ADDRESSES.values())),
        )
        registry.check_in(call, self.now)

    def exchange(self) -> None:
        for host in self.hosts:
            host.registry.end_departed(self.now)
            host.registry.expire(self.now)
            update = host.publish()
            self.forwarder.apply_update(update, self.now)
            for other in self.hosts:
                if other is not host:
                    other.receive(update, self.now)

    def unserved(self) -> list[int]:
        """Return the targets whose open flows are not forwarded to them."""
        found = []
        for target in TARGETS:
            tag = flow_tag(Lifetime(f"i-{target:x}", STARTED_MS))
            port = OPEN_FLOW_PORT + ADDRESSES[target]
            decision = self.forwarder.decide(data(port, tag), self.now)
            if not isinstance(decision, Forwarded) or decision.identity != target:
                found.append(target)
        return found

    def unused(self) -> list[int]:
        """Return the targets that none of many new flows is placed on."""
        identities = set()
        for number in range(8 * len(TARGETS)):
            decision = self.forwarder.decide(syn(50_000 + number), self.now)
            if isinstance(decision, Forwarded):
                identities.add(decision.identity)
        return [target for target in TARGETS if target not in identities]


class RandomWritersTest(unittest.TestCase):
    def check(self, has_copies: bool) -> None:
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                schedule = Schedule(seed, has_copies)
                schedule.step()
                for _ in range(STEPS):
                    schedule.step()
                    self.assertEqual(schedule.unserved(), [], schedule.now)
                self.assertEqual(schedule.unused(), [], schedule.now)

    # Guards against living targets whose flows end, or that get none, because of others' calls.
    def test_targets_are_served_and_used_whatever_other_writers_send(self) -> None:
        self.check(has_copies=False)

    # Guards against the same where an entry is a copy of a target's own with another service.
    def test_targets_are_served_and_used_beside_copies_of_their_entries(self) -> None:
        self.check(has_copies=True)


if __name__ == "__main__":
    unittest.main()
