"""Segments, events and effects of the packet path."""

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
    """How far the lookup of a packet's flow has progressed across entry hosts.

    A packet only moves to a higher stage, so two hosts that each take the other for the home
    cannot relay it back and forth. ``BACKUP`` and ``REMOTE_BACKUP`` ask a host whether it knows
    the flow, ``UNKNOWN`` tells the home that neither host knows it, and ``FOUND`` carries the
    flow's target.
    """

    FABRIC = 0
    HOME = 1
    BACKUP = 2
    REMOTE_BACKUP = 3
    UNKNOWN = 4
    FOUND = 5


class Segment(NamedTuple):
    """The fields of a TCP segment that routing decisions use.

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
    """A segment arrived from the fabric or was relayed by another entry host.

    :param sender: the entry host that relayed it; empty if it came from the fabric.
    :param packet: the raw packet, which the core stores but does not parse.
    :param tag: identifies the flow's target at :attr:`Stage.FOUND`.
    """

    segment: Segment
    stage: Stage
    sender: HostName
    packet: bytes = b""
    tag: int = 0


class ViewChanged(NamedTuple):
    """A new view replaces the former one because hosts, targets or services changed."""

    view: RoutingView


class PinsReceived(NamedTuple):
    """Pins arrived from another entry host."""

    pins: Pins


class FlowTick(NamedTuple):
    """Periodic timer event: retries SYNs, sends probes and pins, and ends flows that timed out."""


class LeaveRequested(NamedTuple):
    """This host is about to stop; its flows move to other homes."""


FlowEvent = SegmentArrived | ViewChanged | PinsReceived | FlowTick | LeaveRequested


class DropReason(enum.StrEnum):
    """Why a packet was not forwarded; used as a metric label."""

    FOREIGN = "foreign"  # neither to a known service nor from a known target
    NO_HOME = "no_home"
    NOT_READY = "not_ready"
    NO_TARGET = "no_target"
    UNKNOWN_FLOW = "unknown_flow"
    TOO_MANY_LOOKUPS = "too_many_lookups"
    OLD_INCARNATION = "old_incarnation"
    ABANDONED_TARGET = "abandoned_target"
    OTHER_TARGET = "other_target"
    HELD = "held"  # buffered until the flow's target is found
    REFUSAL_RETRIED = "refusal_retried"


class ToTarget(NamedTuple):
    """Send the current packet to a target, with its destination rewritten."""

    endpoint: Endpoint


class ToCaller(NamedTuple):
    """Send the current packet to its caller, with its source rewritten."""

    service: Endpoint


class Relay(NamedTuple):
    """Relay the current packet unchanged to another entry host.

    :param tag: identifies the flow's target at :attr:`Stage.FOUND`, else 0.
    """

    host: HostName
    stage: Stage
    tag: int = 0


class Drop(NamedTuple):
    """Do not forward the current packet, and count it under a reason."""

    reason: DropReason


class Resend(NamedTuple):
    """Send a buffered packet to a target, with its destination rewritten."""

    packet: bytes
    endpoint: Endpoint


class Reset(NamedTuple):
    """Send a reset segment that this host generates."""

    source: Endpoint
    destination: Endpoint
    seq: int
    ack: int
    flags: int


class Probe(NamedTuple):
    """Send a keep-alive segment; a receiver that knows the flow acknowledges it.

    :param seq: one less than the receiver expects next (RFC 9293, section 3.8.4).
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
    """A flow was refused or ended without an orderly close; reported in timeline and metrics."""

    key: FlowKey
    target: TargetName
    verdict: Verdict
    reason: str


FlowEffect = (
    ToTarget | ToCaller | Relay | Drop | Resend | Reset | Probe | Replicate | VerdictReached
)
