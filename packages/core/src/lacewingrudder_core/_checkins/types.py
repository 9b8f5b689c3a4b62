"""Types of target check-ins and of their publication by control hosts."""

from __future__ import annotations

import enum
from typing import NamedTuple

from .._notes.evacuations import Evacuations
from ..types import Endpoint, HostName, TargetName, ZoneName


class LifeState(enum.IntEnum):
    """States of a target's lifetime; a lifetime never returns to an earlier state."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Lifetime(NamedTuple):
    """Identifies one run of a target, from its start to its end.

    :param started_ms: start time in wall-clock milliseconds; it grows with each start of the same
        target.
    """

    target: TargetName
    started_ms: int


class EntryKey(NamedTuple):
    """Identifies an entry: check-ins of one lifetime that differ in the rest are not merged.

    A target has the same service, zone and address throughout its lifetime, so another check-in
    under its identifier and start time comes from another writer.
    """

    lifetime: Lifetime
    service: str
    zone: ZoneName
    endpoint: Endpoint


class CheckIn(NamedTuple):
    """Registration request of a target, repeated as its heartbeat.

    :param identity: the target's own 64-bit identifier, which it expects in forwarded packets.
    :param slots: number of requests that the target can process at once.
    :param sequence: grows with each check-in of a lifetime.
    :param warmup_remaining_ms: remaining warm-up time, during which the target is slow.
    """

    lifetime: Lifetime
    identity: int
    service: str
    zone: ZoneName
    endpoint: Endpoint
    slots: int
    state: LifeState
    sequence: int
    warmup_remaining_ms: int

    @property
    def key(self) -> EntryKey:
        """What identifies the entry that the call renews."""
        return EntryKey(self.lifetime, self.service, self.zone, self.endpoint)

    def repeats(self, known: TargetEntry | None) -> bool:
        """Return whether the call only repeats what is published of its lifetime."""
        return known is not None and known.state >= self.state and known.has_recent_heartbeat

    def is_of_same_target(self, entry: TargetEntry) -> bool:
        """Return whether two lifetimes are of one target, so that the later one is its restart."""
        return (entry.lifetime.target, entry.service) == (self.lifetime.target, self.service)


class CheckInOutcome(enum.StrEnum):
    """Result of a check-in or deregistration.

    An outdated call has no effect: its lifetime is unknown or ended, the same or a later call of it
    arrived before, it may be a delayed one of a lifetime whose name or address a later one has, or
    a call to deregister may be one of an earlier lifetime.
    """

    REGISTERED = "registered"
    RENEWED = "renewed"
    DRAINING = "draining"
    ENDED = "ended"
    OUTDATED = "late"
    CONFLICTING = "foreign"


class TargetEntry(NamedTuple):
    """A lifetime of a target as published by a control host.

    :param sequence: sequence number of the last check-in that this entry reflects.
    :param has_recent_heartbeat: whether the control host receives heartbeats of the target.
    """

    lifetime: Lifetime
    identity: int
    service: str
    zone: ZoneName
    endpoint: Endpoint
    slots: int
    state: LifeState
    sequence: int
    warmup_remaining_ms: int
    has_recent_heartbeat: bool

    @property
    def key(self) -> EntryKey:
        """What identifies the entry."""
        return EntryKey(self.lifetime, self.service, self.zone, self.endpoint)

    @classmethod
    def from_check_in(cls, call: CheckIn, state: LifeState) -> TargetEntry:
        """Return the entry of a target whose check-in has just arrived."""
        return cls(
            call.lifetime,
            call.identity,
            call.service,
            call.zone,
            call.endpoint,
            call.slots,
            state,
            call.sequence,
            call.warmup_remaining_ms,
            True,
        )


class Position(NamedTuple):
    """Position in the changes of a control host, such as the last one that a subscriber applied.

    :param epoch: identifies one start of the control host.
    :param number: number of the change within the epoch, 0 before the first.
    """

    epoch: int
    number: int


class Subscription(NamedTuple):
    """Request of a host for the changes after a position, repeated as a heartbeat.

    It also acknowledges the changes up to that position.

    :param version: version of the newest configuration that the subscriber has received, which may
        not be in force yet; -1 for none.
    :param is_control: whether the subscriber is a control host.
    :param is_poll: whether the subscriber wants an answer even if there are no changes.
    :param is_ready: whether the subscriber accepts new flows.
    """

    host: HostName
    zone: ZoneName
    is_control: bool
    position: Position
    version: int
    is_poll: bool
    is_ready: bool = False


class ZonePeerCounts(NamedTuple):
    """Counts of the other entry hosts in a subscriber's zone.

    :param known: hosts that renewed their subscription recently, including those that may be
        restarting.
    :param ready: hosts that accept new flows.
    """

    known: int
    ready: int


class Update(NamedTuple):
    """Changes that a control host sends to one subscriber.

    :param host: the publishing control host.
    :param position: position after these changes.
    :param since: number of the change before the first of these; 0 if the entries are complete.
    :param version: version of the newest committed configuration, -1 for none.
    :param controls: control hosts that the sender knows.
    :param evacuations: the newest committed evacuations that the sender knows.
    """

    host: HostName
    position: Position
    since: int
    entries: tuple[TargetEntry, ...]
    version: int
    controls: tuple[HostName, ...]
    peers: ZonePeerCounts = ZonePeerCounts(0, 0)
    evacuations: Evacuations = Evacuations()


class SilenceReport(NamedTuple):
    """Tells control hosts that a target left the SYN of a new flow unanswered.

    :param zone: zone of the reporting entry host.
    :param unanswered_seconds: time since the SYN.
    """

    lifetime: Lifetime
    zone: ZoneName
    unanswered_seconds: float


class SilenceQuery(NamedTuple):
    """Asks an entry host whether a reported target answered one of its callers meanwhile.

    :param seconds: time since a SYN that the target left unanswered. Only answers to what was sent
        to it after that count.
    """

    lifetime: Lifetime
    seconds: float


class TargetAnswered(NamedTuple):
    """The answer to :class:`SilenceQuery` of an entry host whose callers got answers."""

    lifetime: Lifetime


class ControlStarted(NamedTuple):
    """Tells an entry host that a control host runs again, which it had subscribed to before.

    An entry host that starts at the same time knows only its seeds.
    """


class FormerTargets(NamedTuple):
    """Tells an entry host that has just started which targets other control hosts had.

    The sender has just started, too, and knows this from before. The others may still be starting.
    """

    entries: tuple[TargetEntry, ...]


class ConfigurationUpdate(NamedTuple):
    """The newest committed configuration, for a subscriber that has an older one."""

    version: int
    document: bytes
