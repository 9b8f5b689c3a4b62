"""How target records travel between entry hosts: rumours of what is new, pulls of what differs.

A changed record goes to a few random neighbours, and each host that learns it passes it on once
(Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987). What rumours miss
shows in the table digests on pings and is pulled bucket by bucket.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import NamedTuple

from .._propagation.token_bucket import TokenBucket
from .._targets.records import record_fingerprint
from ..messages import TargetsPull, TargetUpdates
from ..types import HostName, TargetName, TargetRecord, TargetState
from .digests import (
    DIGEST_BYTES,
    Fingerprint,
    bucket_count,
    bucket_digests,
    differing_buckets,
    table_digest,
)

FANOUT = 4
RUMOURS_PER_SECOND = 60.0
RUMOUR_BURST = 240.0
RECORDS_PER_MESSAGE = 64
RECORDS_PER_PULL = 256
PULLED_RECORDS_PER_SECOND = 512.0
PULL_SECONDS = 0.5
UNQUIET_PULL_SECONDS = 3.0
QUIET_SECONDS = 1.0
RUMOURS_KEPT = 256


class SendTargets(NamedTuple):
    """Send records, or ask for some."""

    host: HostName
    body: TargetUpdates | TargetsPull


class TargetGossip:
    """Decides which records go to which entry host.

    :param rng: source of random choices.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._records: dict[TargetName, TargetRecord] = {}
        self._fingerprints: dict[TargetName, Fingerprint] = {}
        self._rumours: dict[TargetName, None] = {}
        self._rumour_budget = TokenBucket(RUMOURS_PER_SECOND, RUMOUR_BURST)
        self._pull_budget = TokenBucket(PULLED_RECORDS_PER_SECOND, PULLED_RECORDS_PER_SECOND)
        self._changed_at = float("-inf")
        self._pulled_at = float("-inf")
        self._answered: frozenset[TargetName] = frozenset()
        self._digest = 0

    @property
    def digest(self) -> int:
        """Digest of all records."""
        return self._digest

    def receive(self, body: TargetUpdates) -> None:
        """Look at records before they are merged; those of an answer will be no rumours."""
        answered = body.records if body.is_answer else ()
        self._answered = frozenset(record.target.name for record in answered)

    def update_records(self, records: Iterable[TargetRecord], now: float) -> list[TargetRecord]:
        """Take the current records; those that changed become rumours.

        :return: the records whose targets are in another state than before.
        """
        current = {record.target.name: record for record in records}
        gone = self._records.keys() - current.keys()
        changed = [name for name in current if self._records.get(name) is not current[name]]
        moved = [name for name in changed if _state(self._records, name) != current[name].state]
        self._records = current
        for name in gone:
            del self._fingerprints[name]
            self._rumours.pop(name, None)
        self._take_changed(changed, now)
        if gone or changed:
            self._digest = table_digest(self._fingerprints.values())
        return [current[name] for name in moved]

    def tick(self, neighbours: tuple[HostName, ...], now: float) -> list[SendTargets]:
        """Return the rumours that are due."""
        if not self._rumours or not neighbours:
            return []
        receivers = self._rng.sample(neighbours, min(FANOUT, len(neighbours)))
        allowed = self._rumour_budget.take(len(self._rumours) * len(receivers), now)
        names = list(self._rumours)[: min(RECORDS_PER_MESSAGE, allowed // len(receivers))]
        if not names:
            return []
        for name in names:
            del self._rumours[name]
        body = TargetUpdates(tuple(self._records[name] for name in names), is_answer=False)
        return [SendTargets(host, body) for host in receivers]

    def compare_digest(self, host: HostName, digest: int, now: float) -> list[SendTargets]:
        """Take another host's table digest; ask for what differs unless rumours are on their way.

        :param digest: what the host says of its own table.
        """
        is_quiet = now - self._changed_at >= QUIET_SECONDS or not self._records
        pause = PULL_SECONDS if is_quiet else UNQUIET_PULL_SECONDS
        if digest == self._digest or now - self._pulled_at < pause:
            return []
        self._pulled_at = now
        digests = bucket_digests(self._fingerprints.values(), bucket_count(len(self._records)))
        return [SendTargets(host, TargetsPull(digests))]

    def answer_pull(self, host: HostName, digests: bytes, now: float) -> list[SendTargets]:
        """Answer a pull with records of the buckets that differ."""
        buckets = differing_buckets(self._fingerprints.values(), digests)
        if not buckets:
            return []
        count = len(digests) // DIGEST_BYTES
        names = [n for n, mark in self._fingerprints.items() if mark.name % count in buckets]
        self._rng.shuffle(names)
        allowed = self._pull_budget.take(min(len(names), RECORDS_PER_PULL), now)
        records = [self._records[name] for name in names[:allowed]]
        starts = range(0, len(records), RECORDS_PER_MESSAGE)
        parts = [tuple(records[start : start + RECORDS_PER_MESSAGE]) for start in starts]
        return [SendTargets(host, TargetUpdates(part, is_answer=True)) for part in parts]

    def _take_changed(self, names: Iterable[TargetName], now: float) -> None:
        for name in names:
            fingerprint = _fingerprint(self._records[name])
            if self._fingerprints.get(name) == fingerprint:
                continue
            self._fingerprints[name] = fingerprint
            self._changed_at = now
            if name not in self._answered and len(self._rumours) < RUMOURS_KEPT:
                self._rumours[name] = None


def _state(records: dict[TargetName, TargetRecord], name: TargetName) -> TargetState | None:
    record = records.get(name)
    return None if record is None else record.state


def _fingerprint(record: TargetRecord) -> Fingerprint:
    return Fingerprint.of(record.target.name, record_fingerprint(record))
