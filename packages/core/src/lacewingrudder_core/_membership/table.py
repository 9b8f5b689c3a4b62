"""The membership table: the state of each entry host, and the updates still to be disseminated."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from .._gossip.digests import DIGEST_BYTES, Fingerprint, differing_buckets, table_digest
from ..messages import MemberStatus, MemberUpdate
from ..types import HostName, Member

TRANSMISSIONS_FACTOR = 2
DEAD_KEPT_SECONDS = 86_400.0
LEFT_KEPT_SECONDS = 3_600.0
FORGET_SECONDS = 60.0
_KEPT_SECONDS = {
    MemberStatus.DEAD: DEAD_KEPT_SECONDS,
    MemberStatus.LEFT: LEFT_KEPT_SECONDS,
}


class _Row(NamedTuple):
    member: Member
    status: MemberStatus
    since: float

    @property
    def is_live(self) -> bool:
        return self.status <= MemberStatus.SUSPECT


class MemberTable:
    """The state of each entry host as this host knows it.

    :param me: this host.
    """

    def __init__(self, me: Member) -> None:
        self._me = me
        self._rows: dict[HostName, _Row] = {}
        self._sends_left: dict[HostName, int] = {me.name: TRANSMISSIONS_FACTOR}
        self._fingerprints: dict[HostName, Fingerprint] = {}
        self._live: tuple[Member, ...] | None = None
        self._digest = 0
        self._is_changed = False
        self._is_leaving = False
        self._suspects: set[HostName] = set()
        self._next_forget = float("-inf")
        self._mark(me, is_live=True)
        self.changed_at = float("-inf")

    @property
    def me(self) -> Member:
        """This host."""
        return self._me

    @property
    def live(self) -> tuple[Member, ...]:
        """The live members, this host first."""
        if self._live is None:
            others = [row.member for row in self._rows.values() if row.is_live]
            self._live = (self._me, *others)
        return self._live

    @property
    def dead(self) -> list[HostName]:
        """The hosts that were declared dead, without those that shut down gracefully."""
        return [name for name, row in self._rows.items() if row.status is MemberStatus.DEAD]

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
        return name == self._me.name or name in self._rows

    def leave(self, now: float) -> None:
        """Announce that this host leaves, and stop refuting updates about it."""
        self._is_leaving = True
        self._spread(self._me.name, now)

    def take(self, updates: Iterable[MemberUpdate], now: float) -> None:
        """Apply updates, except those that are older than the table's entries."""
        for update in updates:
            if update.member.name == self._me.name:
                self._take_own(update, now)
            else:
                self._take_other(update, now)

    def suspect(self, name: HostName, now: float) -> None:
        """Mark a member that did not answer as suspect."""
        row = self._rows.get(name)
        if row is not None:
            self._take_other(MemberUpdate(row.member, MemberStatus.SUSPECT), now)

    def expire(self, now: float, suspicion: float) -> None:
        """Declare suspects dead after the suspicion timeout, and remove old entries.

        :param suspicion: suspicion timeout in seconds for up to ten live members; it grows with
            the logarithm of their number.
        """
        lasting = suspicion * max(1.0, math.log10(len(self._fingerprints)))
        for name in list(self._suspects):
            row = self._rows[name]
            if now - row.since >= lasting:
                self._take_other(MemberUpdate(row.member, MemberStatus.DEAD), now)
        if now >= self._next_forget:
            self._next_forget = now + FORGET_SECONDS
            self._forget(now)

    def postpone_suspicions(self, seconds: float) -> None:
        """Extend all suspicions, because this host itself was delayed."""
        for name in self._suspects:
            row = self._rows[name]
            self._rows[name] = row._replace(since=row.since + seconds)

    def updates_for(self, host: HostName, count: int) -> tuple[MemberUpdate, ...]:
        """Return the updates to piggyback on a message to a host.

        If the host is suspected or declared dead here, that update comes first, so that it can
        refute it. Updates with the most transmissions left follow.
        """
        about_host = self._rows.get(host)
        chosen = []
        if about_host is not None and about_host.status is not MemberStatus.ALIVE:
            chosen.append(MemberUpdate(about_host.member, about_host.status))
        fresh = sorted(self._sends_left, key=lambda name: -self._sends_left[name])
        for name in fresh[: count - len(chosen)]:
            self._count_send(name)
            if name != host and (name != self._me.name or self._is_leaving):
                chosen.append(self._update(name))
        return tuple(chosen)

    def differing(self, digests: bytes) -> list[MemberUpdate]:
        """Return all entries, including dead hosts, in the buckets whose digests differ.

        :param digests: the bucket digests of another host.
        """
        buckets = differing_buckets(self._fingerprints.values(), digests)
        if buckets is None:
            return []
        count = len(digests) // DIGEST_BYTES
        rows = [self._update(name) for name in (self._me.name, *self._rows)]
        return [u for u in rows if _fingerprint(u.member).name % count in buckets]

    def take_change(self) -> bool:
        """Return whether live members or their endpoints changed, and reset the flag."""
        changed, self._is_changed = self._is_changed, False
        return changed

    def _update(self, name: HostName) -> MemberUpdate:
        if name == self._me.name:
            status = MemberStatus.LEFT if self._is_leaving else MemberStatus.ALIVE
            return MemberUpdate(self._me, status)
        row = self._rows[name]
        return MemberUpdate(row.member, row.status)

    def _count_send(self, name: HostName) -> None:
        self._sends_left[name] -= 1
        if self._sends_left[name] <= 0 or not self.is_known(name):
            del self._sends_left[name]

    def _take_own(self, update: MemberUpdate, now: float) -> None:
        """Refute an update about this host that is wrong, with a higher incarnation."""
        if self._is_leaving:
            return
        heard = update.member.incarnation
        is_same = update.member == self._me and update.status is MemberStatus.ALIVE
        if is_same or heard < self._me.incarnation:
            return
        self._me = self._me._replace(incarnation=heard + 1)
        self._spread(self._me.name, now)
        self._mark(self._me, is_live=True)

    def _take_other(self, update: MemberUpdate, now: float) -> None:
        name = update.member.name
        row = self._rows.get(name)
        if row is not None and not _is_newer(update, row):
            return
        self._rows[name] = _Row(update.member, update.status, now)
        self._spread(name, now)
        is_live = self._rows[name].is_live
        was_live = row is not None and row.is_live
        self._is_changed |= is_live != was_live
        self._is_changed |= (
            is_live and row is not None and _place(row.member) != _place(update.member)
        )
        self._mark(update.member, is_live)
        self._suspects.discard(name)
        if update.status is MemberStatus.SUSPECT:
            self._suspects.add(name)

    def _forget(self, now: float) -> None:
        for name, row in list(self._rows.items()):
            if now - row.since > _KEPT_SECONDS.get(row.status, math.inf):
                del self._rows[name]

    def _spread(self, name: HostName, now: float) -> None:
        rounds = math.ceil(math.log2(len(self._rows) + 2))
        self._sends_left[name] = TRANSMISSIONS_FACTOR * rounds
        self.changed_at = now

    def _mark(self, member: Member, is_live: bool) -> None:
        """Update the fingerprints and the digest for one member."""
        old = self._fingerprints.pop(member.name, None)
        new = [_fingerprint(member)] if is_live else []
        for fingerprint in new:
            self._fingerprints[member.name] = fingerprint
        self._digest ^= table_digest([old, *new] if old is not None else new)
        self._live = None


def _is_newer(update: MemberUpdate, row: _Row) -> bool:
    heard = (update.member.incarnation, update.status)
    return heard > (row.member.incarnation, row.status)


def _place(member: Member) -> Member:
    return member._replace(incarnation=0)


def _fingerprint(member: Member) -> Fingerprint:
    return Fingerprint.of(member.name, str(member.incarnation))
