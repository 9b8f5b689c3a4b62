"""Targets that register by check-in, and how control hosts publish them."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ..types import Endpoint, HostName, TargetName, ZoneName


class LifeState(enum.IntEnum):
    """States of one lifetime of a target; within a lifetime only later ones follow."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Lifetime(NamedTuple):
    """One start of a target.

    :param started_ms: wall-clock milliseconds of the start; a later start of the same target has
        more.
    """

    target: TargetName
    started_ms: int


class CheckIn(NamedTuple):
    """What a target says of itself; repeated as its heartbeat.

    :param identity: 64-bit number that a target takes for itself in forwarded packets.
    :param sequence: grows with each check-in of a lifetime.
    :param warmup_remaining_ms: for how many milliseconds the target is still slow after its start.
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


class TargetEntry(NamedTuple):
    """A lifetime of a target as a control host publishes it.

    :param sequence: of the check-in that led to this entry.
    :param has_recent_heartbeat: whether the publisher heard its heartbeat lately.
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


class Position(NamedTuple):
    """How far a subscriber has followed a publisher.

    :param epoch: names one start of the publisher.
    :param number: of the last change taken in within the epoch.
    """

    epoch: int
    number: int


class Subscription(NamedTuple):
    """A host asks a control host for what follows a position; repeated as a heartbeat.

    :param version: of the configuration that the subscriber has in force, -1 for none.
    :param is_control: whether the subscriber is a control host itself.
    :param is_poll: whether an answer is due also where there is nothing new.
    :param is_ready: whether the subscriber takes new flows.
    """

    host: HostName
    zone: ZoneName
    is_control: bool
    position: Position
    version: int
    is_poll: bool
    is_ready: bool = False


class ZonePeerCounts(NamedTuple):
    """The other entry hosts of a subscriber's zone.

    :param known: how many were heard of late, those that are starting again among them.
    :param ready: how many of them take new flows.
    """

    known: int
    ready: int


class Update(NamedTuple):
    """What a control host publishes to one subscriber.

    :param since: the change that the entries follow; 0 if they are all there is.
    :param version: of the newest committed configuration, -1 for none.
    :param controls: control hosts that the publisher knows.
    """

    host: HostName
    position: Position
    since: int
    entries: tuple[TargetEntry, ...]
    version: int
    controls: tuple[HostName, ...]
    peers: ZonePeerCounts = ZonePeerCounts(0, 0)


class ConfigurationUpdate(NamedTuple):
    """A whole committed configuration, for a subscriber that has an older one."""

    version: int
    document: bytes
