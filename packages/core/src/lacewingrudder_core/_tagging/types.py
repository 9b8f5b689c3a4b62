"""Data of forwarding by flow tag."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from typing import NamedTuple

from ..types import Endpoint, FlowKey, ZoneName

IDLE_SECONDS = 15.0
"""How long a flow may carry nothing where no configuration says otherwise."""


class TagSegment(NamedTuple):
    """What a host reads of one packet of a caller.

    :param tag: the flow tag that the caller returns; 0 before it knows one.
    :param attempt: which copy of its SYN this is, from 0.
    :param payload: bytes of data.
    :param sequence: number of the first byte of data.
    :param acknowledged: number of the next byte that the caller expects.
    """

    flow: FlowKey
    tag: int
    is_syn: bool
    is_last: bool
    attempt: int
    payload: int
    sequence: int
    acknowledged: int


class Split(NamedTuple):
    """A service's part of the new flows of a route.

    :param weight: relative to the other parts.
    """

    service: str
    weight: int


class Route(NamedTuple):
    """Where new flows to an address and port go.

    :param is_idempotent: whether requests inside may be repeated.
    :param urgency: 0 is the least urgent.
    :param objective_seconds: when answers to requests inside are due, or ``None``.
    """

    endpoint: Endpoint
    splits: tuple[Split, ...]
    is_idempotent: bool
    urgency: int
    objective_seconds: float | None = None


class Configuration(NamedTuple):
    """A whole configuration, read.

    :param idle_seconds: a flow that carried nothing for this long may be discarded.
    """

    version: int
    routes: Mapping[Endpoint, Route]
    idle_seconds: float


class Ejection(NamedTuple):
    """New flows keep away for a while from what left several packets in a row unanswered.

    :param target: ``None`` for a whole zone.
    """

    zone: ZoneName
    target: Endpoint | None


class DropReason(enum.StrEnum):
    """Why a packet is not forwarded, without an answer to the caller."""

    NOT_READY = "not_ready"
    UNKNOWN_TAG = "unknown_tag"
    UNTAGGED = "untagged"


class ResetReason(enum.StrEnum):
    """Why a flow is reset."""

    NO_ROUTE = "no_route"
    NO_TARGET = "no_target"
    OVERLOAD = "overload"
    TARGET_GONE = "target_gone"


class Forwarded(NamedTuple):
    """Send the packet to a target.

    :param identity: the number by which the target knows itself.
    """

    endpoint: Endpoint
    identity: int
    tag: int


class Dropped(NamedTuple):
    """Send nothing; the caller sends again or gives up."""

    reason: DropReason


class Reset(NamedTuple):
    """Reset the flow at its caller."""

    reason: ResetReason


Decision = Forwarded | Dropped | Reset
