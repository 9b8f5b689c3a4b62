"""An index of targets that applies single changes, compared with one built from scratch."""

import random
import unittest

from checkin_fakes import entry, update
from lacewingrudder_core._checkins.views import KnownTarget, Views
from lacewingrudder_core._tagging.target_index import TargetIndex
from lacewingrudder_core.checkins import LifeState, Lifetime, TargetEntry

CONTROLS = ("10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720")
SERVICES = ("proofdesk", "sheetroom")
ZONES = ("adum", "suame")
TAG_COUNT = 12
"""Few tags, so that some of them collide."""


def make_tag(lifetime: Lifetime) -> int:
    return 1 + (int(lifetime.target[2:], 16) * 5 + lifetime.started_ms) % TAG_COUNT


class Rebuilt:
    """What an index has to say, derived from all known targets at once."""

    def __init__(self, known: dict[Lifetime, KnownTarget], services: frozenset[str]) -> None:
        self._known = known
        self._services = services
        tags = [make_tag(lifetime) for lifetime in known]
        self.targets = {
            make_tag(lifetime): self._end_if_superseded(lifetime)
            for lifetime in known
            if tags.count(make_tag(lifetime)) == 1
        }

    def _end_if_superseded(self, lifetime: Lifetime) -> KnownTarget:
        known = self._known[lifetime]
        is_superseded = any(
            other.started_ms > lifetime.started_ms
            and (
                target.entry.service in self._services
                or (other.target, target.entry.service) == (lifetime.target, known.entry.service)
            )
            and (other.target == lifetime.target or target.entry.endpoint == known.entry.endpoint)
            for other, target in self._known.items()
        )
        if known.entry.state is LifeState.GONE or not is_superseded:
            return known
        return KnownTarget(known.entry._replace(state=LifeState.GONE), False)

    def current_tag(self, tag: int) -> int:
        gone = self.targets[tag].entry
        if gone.state is not LifeState.GONE:
            return tag
        for other, target in self.targets.items():
            row = target.entry
            is_same = (row.lifetime.target, row.endpoint, row.service) == (
                gone.lifetime.target,
                gone.endpoint,
                gone.service,
            )
            if is_same and row.state is not LifeState.GONE:
                return other
        return tag

    def candidates(self, service: str) -> set[tuple[int, bool]]:
        return {
            (tag, target.has_recent_heartbeat)
            for tag, target in self.targets.items()
            if target.entry.state is LifeState.READY and target.entry.service == service
        }


class RandomHistory:
    """Random updates of control hosts that restart, fall silent and are forgotten."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.views = Views()
        self.index = TargetIndex("adum", seed, make_tag)
        self.used_services = frozenset(SERVICES)
        self.now = 0.0
        self._positions = {control: [1, 0] for control in CONTROLS}

    def step(self) -> None:
        """Let time pass, then apply a random update or only refresh the views.

        Now and then the services in use change, too.
        """
        self.now += self.random.choice([0.01, 0.1, 0.5, 1.5, 5.0, 130.0])
        if self.random.random() < 0.1:
            count = self.random.randint(0, len(SERVICES))
            self.used_services = frozenset(self.random.sample(SERVICES, count))
            self.index.use_services(self.used_services, self.now)
        changed = set()
        if self.random.random() < 0.9:
            changed = self._send_update()
        changed |= self.views.refresh(self.now)
        self.index.apply(((row, self.views.get(row)) for row in changed), self.now)

    def _send_update(self) -> set[Lifetime]:
        control = self.random.choice(CONTROLS)
        position = self._positions[control]
        if self.random.random() < 0.1:
            position[0] += 1
            position[1] = 0
        since = position[1]
        rows = [self._make_entry() for _ in range(self.random.randint(0, 3))]
        position[1] += len(rows)
        if self.random.random() < 0.1:
            return set()
        epoch, number = position
        body = update(*rows, control=control, epoch=epoch, number=number, since=since)
        return self.views.apply_update(body, self.now)

    def _make_entry(self) -> TargetEntry:
        choose = self.random.choice
        return entry(
            choose(range(5)),
            choose(list(LifeState)),
            choose([1000, 2000, 3000]),
            choose(ZONES),
            choose(SERVICES),
            choose(range(4)),
            choose([True, False]),
            choose([1, 2, 3, None]),
        )


class TargetIndexTest(unittest.TestCase):
    def check(self, history: RandomHistory) -> None:
        index = history.index
        rebuilt = Rebuilt(history.views.merge(history.now), history.used_services)
        self.assertEqual(index._targets, rebuilt.targets)
        for tag in rebuilt.targets:
            self.assertEqual(index.current_tag(tag), rebuilt.current_tag(tag))
        for service in SERVICES:
            found = index.candidates(service, 0.0)
            rows = {(row.tag, row.has_recent_heartbeat) for row in found.targets}
            self.assertEqual(rows, rebuilt.candidates(service))
            self.assertEqual(len(found.targets), len(rows))
            local = [row for row in found.targets if row.entry.zone == "adum"]
            self.assertEqual(list(found.local_targets), local)
        self.assertEqual(
            index.is_empty, not any(rebuilt.candidates(service) for service in SERVICES)
        )

    def test_single_changes_lead_to_the_same_index_as_a_rebuild(self) -> None:
        for seed in range(150):
            with self.subTest(seed=seed):
                history = RandomHistory(seed)
                for _ in range(60):
                    history.step()
                    self.check(history)

    def test_nothing_is_kept_of_lifetimes_that_are_no_longer_known(self) -> None:
        history = RandomHistory(1)
        for _ in range(60):
            history.step()
        index = history.index
        index.apply([(lifetime, None) for lifetime in list(index._known)], history.now)
        for kept in (index._targets, index._by_tag, index._by_name, index._by_endpoint):
            self.assertEqual(kept, {})
        for kept in (index._tags, index._running, index._services):
            self.assertEqual(kept, {})
        for kept in (index._warmup_ends, index._former_tags, index._tag_names):
            self.assertEqual(len(kept), 0)
