"""The membership table: the state of each entry host, and the updates still to be disseminated."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from .._gossip.digests import DIGEST_BYTES, Fingerprint, differing_buckets, table_digest
from ..messages import MemberStatus, MemberUpdate
from ..types import HostName, Member

# Transmissions of each update, as a multiple of the logarithm of the table's size.
TRANSMISSIONS_FACTOR = 2
# Dead hosts are pinged until they are removed, in case a network partition heals.
DEAD_RETENTION_SECONDS = 86_400.0
# Until it is removed, the entry keeps stale updates from reviving the host.
LEFT_RETENTION_SECONDS = 3_600.0
CLEANUP_INTERVAL_SECONDS = 60.0
_RETENTION_SECONDS = {
    MemberStatus.DEAD: DEAD_RETENTION_SECONDS,
    MemberStatus.LEFT: LEFT_RETENTION_SECONDS,
}


class _Entry(NamedTuple):
    member: Member
    status: MemberStatus
    since: float

    @property
    def is_live(self) -> bool:
        return self.status <= MemberStatus.SUSPECT


class MemberTable:
    """The state of each entry host as this host knows it.

    :param local_member: this host.
    """

    def __init__(self, local_member: Member) -> None:
        self._local_member = local_member
        self._entries: dict[HostName, _Entry] = {}
        self._transmissions_left: dict[HostName, int] = {local_member.name: TRANSMISSIONS_FACTOR}
        self._fingerprints: dict[HostName, Fingerprint] = {}
        self._live: tuple[Member, ...] | None = None
        self._digest = 0
        self._is_changed = False
        self._is_leaving = False
        self._suspects: set[HostName] = set()
        self._next_cleanup = float("-inf")
        self._update_digest(local_member, is_live=True)
        self.changed_at = float("-inf")

    @property
    def local_member(self) -> Member:
        """This host."""
        return self._local_member

    @property
    def live(self) -> tuple[Member, ...]:
        """The live members, this host first."""
        if self._live is None:
            others = [entry.member for entry in self._entries.values() if entry.is_live]
            self._live = (self._local_member, *others)
        return self._live

    @property
    def dead(self) -> list[HostName]:
        """The hosts that were declared dead, without those that shut down gracefully."""
        return [name for name, entry in self._entries.items() if entry.status is MemberStatus.DEAD]

    @property
    def fingerprints(self) -> dict[HostName, Fingerprint]:
        """The fingerprints of the live members."""
        return self._fingerprints

    @property
    def digest(self) -> int:
        """Digest of the live members."""
        return self._digest

    def is_known(self, name: HostName) -> bool:
        """Whether the table has an entry for a host, dead or alive."""
        return name == self._local_member.name or name in self._entries

    def leave(self, now: float) -> None:
        """Announce that this host leaves, and stop refuting updates about it."""
        self._is_leaving = True
        self._enqueue_update(self._local_member.name, now)

    def apply(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Apply updates, except those that are older than the table's entries."""
        for update in updates:
            if update.member.name == self._local_member.name:
                self._apply_own(update, now)
            else:
                self._apply_other(update, now)

    def suspect(self, name: HostName, now: float) -> None:
        """Mark a member that did not answer as suspect."""
        entry = self._entries.get(name)
        if entry is not None:
            self._apply_other(MemberUpdate(entry.member, MemberStatus.SUSPECT), now)

    def expire(self, now: float, suspicion_timeout: float) -> None:
        """Declare suspects dead after the suspicion timeout, and remove old entries.

        :param suspicion_timeout: timeout in seconds for up to ten live members; for more, it grows
            with the logarithm of their number.
        """
        timeout = suspicion_timeout * max(1.0, math.log10(len(self._fingerprints)))
        for name in list(self._suspects):
            entry = self._entries[name]
            if now - entry.since >= timeout:
                self._apply_other(MemberUpdate(entry.member, MemberStatus.DEAD), now)
        if now >= self._next_cleanup:
            self._next_cleanup = now + CLEANUP_INTERVAL_SECONDS
            self._remove_expired(now)

    def postpone_suspicions(self, seconds: float) -> None:
        """Postpone the timeouts of all suspicions, because this host itself was delayed."""
        for name in self._suspects:
            entry = self._entries[name]
            self._entries[name] = entry._replace(since=entry.since + seconds)

    def updates_for(self, host: HostName, count: int) -> tuple[MemberUpdate, ...]:
        """Return the updates to piggyback on a message to a host.

        If this table has the receiver as suspect, dead or left, that update comes first, so that
        the receiver can refute it. Updates with the most transmissions left follow.
        """
        about_host = self._entries.get(host)
        chosen = []
        if about_host is not None and about_host.status is not MemberStatus.ALIVE:
            chosen.append(MemberUpdate(about_host.member, about_host.status))
        by_transmissions_left = sorted(
            self._transmissions_left, key=lambda name: -self._transmissions_left[name]
        )
        for name in by_transmissions_left[: count - len(chosen)]:
            self._count_transmission(name)
            if name != host and (name != self._local_member.name or self._is_leaving):
                chosen.append(self._make_update(name))
        return tuple(chosen)

    def updates_in_differing_buckets(self, digests: bytes) -> list[MemberUpdate]:
        """Return all entries, including dead hosts, in the buckets whose digests differ.

        :param digests: the bucket digests of another host.
        """
        buckets = differing_buckets(self._fingerprints.values(), digests)
        if buckets is None:
            return []
        count = len(digests) // DIGEST_BYTES
        updates = [self._make_update(name) for name in (self._local_member.name, *self._entries)]
        return [update for update in updates if _fingerprint(update.member).name % count in buckets]

    def pop_changed(self) -> bool:
        """Return whether live members or their endpoints changed, and reset the flag."""
        changed, self._is_changed = self._is_changed, False
        return changed

    def _make_update(self, name: HostName) -> MemberUpdate:
        if name == self._local_member.name:
            status = MemberStatus.LEFT if self._is_leaving else MemberStatus.ALIVE
            return MemberUpdate(self._local_member, status)
        entry = self._entries[name]
        return MemberUpdate(entry.member, entry.status)

    def _count_transmission(self, name: HostName) -> None:
        self._transmissions_left[name] -= 1
        if self._transmissions_left[name] <= 0 or not self.is_known(name):
            del self._transmissions_left[name]

    def _apply_own(self, update: MemberUpdate, now: float) -> None:
        """Refute an update about this host that is wrong, with a higher incarnation."""
        if self._is_leaving:
            return
        received = update.member.incarnation
        is_same = update.member == self._local_member and update.status is MemberStatus.ALIVE
        if is_same or received < self._local_member.incarnation:
            return
        self._local_member = self._local_member._replace(incarnation=received + 1)
        self._enqueue_update(self._local_member.name, now)
        self._update_digest(self._local_member, is_live=True)

    def _apply_other(self, update: MemberUpdate, now: float) -> None:
        name = update.member.name
        entry = self._entries.get(name)
        if entry is not None and not _is_newer(update, entry):
            return
        self._entries[name] = _Entry(update.member, update.status, now)
        self._enqueue_update(name, now)
        is_live = self._entries[name].is_live
        was_live = entry is not None and entry.is_live
        self._is_changed |= is_live != was_live
        self._is_changed |= (
            is_live
            and entry is not None
            and _without_incarnation(entry.member) != _without_incarnation(update.member)
        )
        self._update_digest(update.member, is_live)
        self._suspects.discard(name)
        if update.status is MemberStatus.SUSPECT:
            self._suspects.add(name)

    def _remove_expired(self, now: float) -> None:
        for name, entry in list(self._entries.items()):
            if now - entry.since > _RETENTION_SECONDS.get(entry.status, math.inf):
                del self._entries[name]

    def _enqueue_update(self, name: HostName, now: float) -> None:
        rounds = math.ceil(math.log2(len(self._entries) + 2))
        self._transmissions_left[name] = TRANSMISSIONS_FACTOR * rounds
        self.changed_at = now

    def _update_digest(self, member: Member, is_live: bool) -> None:
        """Update the fingerprints and the digest for one member."""
        old = self._fingerprints.pop(member.name, None)
        new = [_fingerprint(member)] if is_live else []
        for fingerprint in new:
            self._fingerprints[member.name] = fingerprint
        self._digest ^= table_digest([old, *new] if old is not None else new)
        self._live = None


def _is_newer(update: MemberUpdate, entry: _Entry) -> bool:
    received = (update.member.incarnation, update.status)
    return received > (entry.member.incarnation, entry.status)


def _without_incarnation(member: Member) -> Member:
    return member._replace(incarnation=0)


def _fingerprint(member: Member) -> Fingerprint:
    return Fingerprint.of(member.name, str(member.incarnation))
