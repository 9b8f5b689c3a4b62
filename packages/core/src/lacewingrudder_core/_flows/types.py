"""What the packet path takes in and gives out: segments, events and effects."""

from __future__ import annotations

import enum
from typing import NamedTuple

from .._routing.view import RoutingView
from ..messages import Pins
from ..types import Endpoint, FlowKey, HostName, TargetName, Verdict

FIN = 0x01
SYN = 0x02
RST = 0x04
ACK = 0x10

SEQUENCE_MASK = 0xFFFFFFFF


class Stage(enum.IntEnum):
    """How often a packet was handed from one entry host to another, and why.

    A packet only ever moves to a higher stage, so that two hosts that name each other as home
    cannot pass it back and forth. ``SECOND`` and ``HEIR`` ask a host whether it knows the flow;
    ``UNKNOWN`` tells the home that neither does, ``FOUND`` names the flow's target.
    """

    FABRIC = 0
    HOME = 1
    SECOND = 2
    HEIR = 3
    UNKNOWN = 4
    FOUND = 5


class Segment(NamedTuple):
    """The fields of a TCP segment that decisions need.

    :param flags: the TCP flags byte.
    :param payload: number of payload bytes.
    """

    source: Endpoint
    destination: Endpoint
    flags: int
    seq: int
    ack: int
    payload: int


class SegmentArrived(NamedTuple):
    """A segment came from the fabric or from another entry host.

    :param sender: the entry host that relayed it; empty if it came from the fabric.
    :param packet: the packet's bytes, which the core keeps but does not read.
    :param tag: stands for the flow's target at :attr:`Stage.FOUND`.
    """

    segment: Segment
    stage: Stage
    sender: HostName
    packet: bytes = b""
    tag: int = 0


class ViewChanged(NamedTuple):
    """Hosts, targets or services changed."""

    view: RoutingView


class PinsReceived(NamedTuple):
    """Another entry host replicated pins to this one."""

    pins: Pins


class FlowTick(NamedTuple):
    """Time passed; due several times a second."""


class LeaveRequested(NamedTuple):
    """This host is going to stop; its flows move to other homes."""


FlowEvent = SegmentArrived | ViewChanged | PinsReceived | FlowTick | LeaveRequested


class DropReason(enum.StrEnum):
    """Why a packet was dropped; the label of a metric."""

    FOREIGN = "foreign"
    NO_HOME = "no_home"
    NOT_READY = "not_ready"
    NO_TARGET = "no_target"
    UNKNOWN_FLOW = "unknown_flow"
    TOO_MANY_LOOKUPS = "too_many_lookups"
    OLD_INCARNATION = "old_incarnation"
    ABANDONED_TARGET = "abandoned_target"
    OTHER_TARGET = "other_target"
    HELD = "held"
    REFUSAL_RETRIED = "refusal_retried"


class ToTarget(NamedTuple):
    """Send the current packet to a target: rewrite its destination."""

    endpoint: Endpoint


class ToCaller(NamedTuple):
    """Send the current packet to its caller: rewrite its source."""

    service: Endpoint


class Relay(NamedTuple):
    """Hand the current packet unchanged to another entry host.

    :param tag: stands for the flow's target at :attr:`Stage.FOUND`, else 0.
    """

    host: HostName
    stage: Stage
    tag: int = 0


class Drop(NamedTuple):
    """Drop the current packet and count it."""

    reason: DropReason


class Resend(NamedTuple):
    """Send a packet that the core kept to a target: rewrite its destination."""

    packet: bytes
    endpoint: Endpoint


class Reset(NamedTuple):
    """Send a reset segment of our own."""

    source: Endpoint
    destination: Endpoint
    seq: int
    ack: int
    flags: int


class Probe(NamedTuple):
    """Send an empty acknowledgement of our own, which the other end answers if it knows the flow.

    :param seq: one less than what the other end expects (RFC 9293, section 3.8.4).
    """

    source: Endpoint
    destination: Endpoint
    seq: int
    ack: int


class Replicate(NamedTuple):
    """Send pins to another entry host."""

    host: HostName
    pins: Pins


class VerdictReached(NamedTuple):
    """A flow ended otherwise than by its ends; for the time line and metrics."""

    key: FlowKey
    target: TargetName
    verdict: Verdict
    reason: str


FlowEffect = (
    ToTarget | ToCaller | Relay | Drop | Resend | Reset | Probe | Replicate | VerdictReached
)
