"""Replication of target records between entry hosts by rumour mongering and anti-entropy.

A changed record is sent to a few random neighbours, and each host that learns of it forwards it
once (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987). Records that
rumours missed are detected by the table digests on pings, and pulled for the buckets that differ.
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
MAX_RUMOUR_BURST = 240.0
MAX_RECORDS_PER_MESSAGE = 64
MAX_RECORDS_PER_PULL = 256
PULLED_RECORDS_PER_SECOND = 512.0
PULL_INTERVAL_SECONDS = 0.5
# Shorter intervals would pull records that rumours still in transit deliver anyway.
UNSETTLED_PULL_INTERVAL_SECONDS = 3.0
SETTLING_SECONDS = 1.0
# Changes beyond this are left to pulls.
MAX_QUEUED_RUMOURS = 256


class SendTargets(NamedTuple):
    """Send target records to a host, or request records from it."""

    host: HostName
    body: TargetUpdates | TargetsPull


class TargetGossip:
    """Decides which target records are sent to which entry hosts.

    :param rng: source of randomness.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._records: dict[TargetName, TargetRecord] = {}
        self._fingerprints: dict[TargetName, Fingerprint] = {}
        self._rumours: dict[TargetName, None] = {}
        self._rumour_budget = TokenBucket(RUMOURS_PER_SECOND, MAX_RUMOUR_BURST)
        self._pull_budget = TokenBucket(PULLED_RECORDS_PER_SECOND, PULLED_RECORDS_PER_SECOND)
        self._last_change = float("-inf")
        self._last_pull = float("-inf")
        self._pulled_names: frozenset[TargetName] = frozenset()
        self._digest = 0

    @property
    def digest(self) -> int:
        """Digest of all target records."""
        return self._digest

    def mark_pulled(self, body: TargetUpdates) -> None:
        """Record which records answer a pull, so that :meth:`update_records` does not forward them.

        Must be called before the records are merged.
        """
        answered = body.records if body.is_answer else ()
        self._pulled_names = frozenset(record.target.name for record in answered)

    def update_records(self, records: Iterable[TargetRecord], now: float) -> list[TargetRecord]:
        """Replace the current records and queue the changed ones as rumours.

        :return: the records whose targets are in a different state than before.
        """
        current = {record.target.name: record for record in records}
        removed = self._records.keys() - current.keys()
        changed = [name for name in current if self._records.get(name) is not current[name]]
        with_new_state = [
            name for name in changed if _state(self._records, name) != current[name].state
        ]
        self._records = current
        for name in removed:
            del self._fingerprints[name]
            self._rumours.pop(name, None)
        self._queue_changed(changed, now)
        if removed or changed:
            self._digest = table_digest(self._fingerprints.values())
        return [current[name] for name in with_new_state]

    def tick(self, neighbours: tuple[HostName, ...], now: float) -> list[SendTargets]:
        """Remove as many queued rumours as the rate limit allows; return their messages."""
        if not self._rumours or not neighbours:
            return []
        receivers = self._rng.sample(neighbours, min(FANOUT, len(neighbours)))
        allowed = self._rumour_budget.take(len(self._rumours) * len(receivers), now)
        names = list(self._rumours)[: min(MAX_RECORDS_PER_MESSAGE, allowed // len(receivers))]
        if not names:
            return []
        for name in names:
            del self._rumours[name]
        body = TargetUpdates(tuple(self._records[name] for name in names), is_answer=False)
        return [SendTargets(host, body) for host in receivers]

    def compare_digest(self, host: HostName, digest: int, now: float) -> list[SendTargets]:
        """Compare the table digest of another host and request the records that differ.

        Shortly after a change, digests differ until rumours have reached every host; pulls are then
        sent less often.

        :param digest: the other host's digest of its table.
        """
        is_settled = now - self._last_change >= SETTLING_SECONDS or not self._records
        interval = PULL_INTERVAL_SECONDS if is_settled else UNSETTLED_PULL_INTERVAL_SECONDS
        if digest == self._digest or now - self._last_pull < interval:
            return []
        self._last_pull = now
        digests = bucket_digests(self._fingerprints.values(), bucket_count(len(self._records)))
        return [SendTargets(host, TargetsPull(digests))]

    def answer_pull(self, host: HostName, digests: bytes, now: float) -> list[SendTargets]:
        """Answer a pull with the records in the buckets that differ.

        :param digests: the bucket digests of the host that sent the pull.
        """
        buckets = differing_buckets(self._fingerprints.values(), digests)
        if not buckets:
            return []
        count = len(digests) // DIGEST_BYTES
        names = [
            name
            for name, fingerprint in self._fingerprints.items()
            if fingerprint.name % count in buckets
        ]
        self._rng.shuffle(names)
        allowed = self._pull_budget.take(min(len(names), MAX_RECORDS_PER_PULL), now)
        records = [self._records[name] for name in names[:allowed]]
        starts = range(0, len(records), MAX_RECORDS_PER_MESSAGE)
        batches = [tuple(records[start : start + MAX_RECORDS_PER_MESSAGE]) for start in starts]
        return [SendTargets(host, TargetUpdates(batch, is_answer=True)) for batch in batches]

    def _queue_changed(self, names: Iterable[TargetName], now: float) -> None:
        for name in names:
            fingerprint = _fingerprint(self._records[name])
            if self._fingerprints.get(name) == fingerprint:
                continue
            self._fingerprints[name] = fingerprint
            self._last_change = now
            if name not in self._pulled_names and len(self._rumours) < MAX_QUEUED_RUMOURS:
                self._rumours[name] = None


def _state(records: dict[TargetName, TargetRecord], name: TargetName) -> TargetState | None:
    record = records.get(name)
    return None if record is None else record.state


def _fingerprint(record: TargetRecord) -> Fingerprint:
    return Fingerprint.of(record.target.name, record_fingerprint(record))
