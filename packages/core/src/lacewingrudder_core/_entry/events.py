"""Events and effects of the core of an entry host."""

from __future__ import annotations

from typing import NamedTuple

from .._follower.follower import (
    CatalogueInForce,
    CataloguePersisted,
    ControlMessage,
    PersistCatalogue,
    SendToControl,
)
from .._membership.core import MembersChanged
from .._targets.events import Announced, AnnounceReply
from ..flows import FlowEffect, SegmentArrived
from ..messages import (
    LeaveNotice,
    Pins,
    PropagationMessage,
    SubscriberMessage,
    SwimMessage,
    TargetsInUse,
    TargetsPull,
    TargetUpdates,
)
from ..types import HostName, TargetName, TargetState

PeerBody = (
    SwimMessage
    | PropagationMessage
    | SubscriberMessage
    | TargetUpdates
    | TargetsPull
    | TargetsInUse
    | LeaveNotice
    | Pins
)


class PeerMessage(NamedTuple):
    """Another entry host sent a message."""

    sender: HostName
    body: PeerBody


class Tick(NamedTuple):
    """Periodic timer for the work of all cores of this host; due several times a second."""


class LoadMeasured(NamedTuple):
    """The load of this host was measured; expected with each tick.

    :param backlog: used fraction of the packet socket's receive buffer.
    :param lag: seconds by which the event loop is late.
    """

    backlog: float
    lag: float


class ShutdownRequested(NamedTuple):
    """This host is about to stop: it hands over its flows and leaves the membership."""


EntryEvent = (
    SegmentArrived
    | PeerMessage
    | ControlMessage
    | Announced
    | CataloguePersisted
    | Tick
    | LoadMeasured
    | ShutdownRequested
)


class SendToPeer(NamedTuple):
    """Send a message to another entry host."""

    host: HostName
    body: PeerBody


class TargetStateChanged(NamedTuple):
    """The state of a target changed, as known to this host.

    :param owner: entry host that holds the lease of the target.
    """

    target: TargetName
    state: TargetState
    owner: HostName


class ReadinessChanged(NamedTuple):
    """This host became ready to choose targets for new flows, or stopped being so."""

    is_ready: bool


EntryEffect = (
    FlowEffect
    | SendToPeer
    | SendToControl
    | AnnounceReply
    | PersistCatalogue
    | CatalogueInForce
    | MembersChanged
    | TargetStateChanged
    | ReadinessChanged
)
