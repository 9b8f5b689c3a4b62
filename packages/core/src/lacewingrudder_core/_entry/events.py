"""What an entry host's core takes in and gives out."""

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
    """Time passed; due several times a second."""


class LoadMeasured(NamedTuple):
    """This host's own load was measured; due with each tick.

    :param backlog: filled fraction of the packet socket's buffer.
    :param lag: seconds by which the loop is late.
    """

    backlog: float
    lag: float


class ShutdownRequested(NamedTuple):
    """This host is going to stop: hand over, then leave."""


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
    """A target is in another state than before, as this host knows it."""

    target: TargetName
    state: TargetState
    owner: HostName


class ReadinessChanged(NamedTuple):
    """This host may choose targets for new flows from now on, or no longer."""

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
