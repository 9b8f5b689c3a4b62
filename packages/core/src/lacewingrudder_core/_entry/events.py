"""What an entry host's core takes in and gives out."""

from __future__ import annotations

from typing import NamedTuple

from .._follower.follower import ControlMessage, InForce, Keep, Kept, SendControl
from .._membership.core import MembersChanged
from .._targets.events import Announced, Answer
from ..flows import FlowEffect, SegmentArrived
from ..messages import (
    FollowMessage,
    Goodbye,
    Pins,
    SpreadMessage,
    SwimMessage,
    TargetsInUse,
    TargetsPull,
    TargetUpdates,
)
from ..types import HostName, TargetName, TargetState

PeerBody = (
    SwimMessage
    | SpreadMessage
    | FollowMessage
    | TargetUpdates
    | TargetsPull
    | TargetsInUse
    | Goodbye
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


class StopPlanned(NamedTuple):
    """This host is going to stop: hand over, then leave."""


EntryEvent = (
    SegmentArrived
    | PeerMessage
    | ControlMessage
    | Announced
    | Kept
    | Tick
    | LoadMeasured
    | StopPlanned
)


class SendPeer(NamedTuple):
    """Send a message to another entry host."""

    host: HostName
    body: PeerBody


class TargetSeen(NamedTuple):
    """A target is in another state than before, as this host knows it."""

    target: TargetName
    state: TargetState
    owner: HostName


class ReadinessChanged(NamedTuple):
    """This host may choose targets for new flows from now on, or no longer."""

    is_ready: bool


EntryEffect = (
    FlowEffect
    | SendPeer
    | SendControl
    | Answer
    | Keep
    | InForce
    | MembersChanged
    | TargetSeen
    | ReadinessChanged
)
