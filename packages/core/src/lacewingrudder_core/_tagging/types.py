"""Types of forwarding by flow tag."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from ..types import Endpoint, FlowKey, ZoneName

DEFAULT_IDLE_TIMEOUT_SECONDS = 15.0
"""Idle timeout of flows before a configuration sets one."""


class TagSegment(NamedTuple):
    """The parts of a caller's packet that forwarding uses.

    :param tag: flow tag that the caller echoes; 0 before it received one.
    :param is_syn: whether this is the SYN of a new flow.
    :param is_last: whether the caller ends the flow.
    :param attempt: number of this transmission of the SYN, from 0.
    :param payload: length of the payload in bytes.
    :param sequence: sequence number of the first payload byte.
    :param acknowledged: acknowledgement number: the next byte that the caller expects.
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
    """Share of a service in the new flows of a route.

    :param weight: relative to the weights of the other splits of the route.
    """

    service: str
    weight: int


class Route(NamedTuple):
    """Services for new flows to an address and port.

    :param is_idempotent: whether requests of these flows may be repeated.
    :param urgency: 0 is the least urgent.
    :param objective_seconds: latency objective of the requests, or ``None``.
    """

    endpoint: Endpoint
    splits: tuple[Split, ...]
    is_idempotent: bool
    urgency: int
    objective_seconds: float | None = None

    def has_service(self, service: str) -> bool:
        """Return whether new flows may go to a service."""
        return any(split.service == service and split.weight > 0 for split in self.splits)


class WarmupLimit(NamedTuple):
    """What targets of a service that warm up bear.

    :param seconds: length of the warm-up.
    :param flows_per_second: new flows that a target bears meanwhile, from all hosts together.
    """

    seconds: float
    flows_per_second: float


class Configuration(NamedTuple):
    """A complete, parsed configuration.

    :param idle_seconds: idle time after which a flow may be discarded.
    :param warmups: services whose targets bear few flows while they warm up.
    """

    version: int
    routes: Mapping[Endpoint, Route]
    idle_seconds: float
    warmups: Mapping[str, WarmupLimit] = MappingProxyType({})


class Ejection(NamedTuple):
    """A target or zone was ejected: it left several packets in a row unanswered.

    :param target: ``None`` for a whole zone.
    """

    zone: ZoneName
    target: Endpoint | None


class DropReason(enum.StrEnum):
    """Why a packet was dropped."""

    NOT_READY = "not_ready"
    UNKNOWN_TAG = "unknown_tag"
    UNTAGGED = "untagged"
    EXPIRED_SYN = "expired_syn"


class ResetReason(enum.StrEnum):
    """Why a flow was reset."""

    NO_ROUTE = "no_route"
    NO_TARGET = "no_target"
    OVERLOAD = "overload"
    WARMING_UP = "warming_up"
    TARGET_GONE = "target_gone"


class RepeatedSyn(NamedTuple):
    """A SYN to send again to a target that answered it, but doesn't hold its flow.

    :param packet: the SYN as the caller sent it.
    :param identity: see :class:`Forwarded`.
    :param tag: flow tag of the target that holds the flow.
    """

    packet: bytes
    endpoint: Endpoint
    identity: int
    tag: int


class Forwarded(NamedTuple):
    """The packet is forwarded to a target.

    :param identity: the target's own 64-bit identifier, which it expects in forwarded packets.
    :param tag: flow tag of the target.
    :param repeated_syns: SYNs of the packet's flow to send to other targets.
    """

    endpoint: Endpoint
    identity: int
    tag: int
    repeated_syns: tuple[RepeatedSyn, ...] = ()


class Dropped(NamedTuple):
    """The packet is dropped without an answer; the caller retransmits it or gives up."""

    reason: DropReason


class Reset(NamedTuple):
    """The caller is sent a reset of its flow."""

    reason: ResetReason


Decision = Forwarded | Dropped | Reset
