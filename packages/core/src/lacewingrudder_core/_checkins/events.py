"""Events and effects of the core that handles check-ins."""

from __future__ import annotations

from typing import NamedTuple

from .._notes.configurations import StoredConfiguration
from .._notes.evacuations import Evacuations
from ..types import HostName, TargetName
from .types import (
    CheckIn,
    CheckInOutcome,
    ConfigurationUpdate,
    Lifetime,
    SilenceQuery,
    SilenceReport,
    Subscription,
    TargetEntry,
    Update,
)


class CheckedIn(NamedTuple):
    """A target checked in; the reply carries the token."""

    token: int
    call: CheckIn


class Deregistered(NamedTuple):
    """A target deregistered; the reply carries the token.

    :param started_ms: start time of the lifetime that ends, or ``None`` if the call didn't name it.
    """

    token: int
    target: TargetName
    started_ms: int | None


class DepartureConfirmed(NamedTuple):
    """A target received the reply to its deregistration, so it exits."""

    lifetime: Lifetime


class Subscribed(NamedTuple):
    """Another host subscribed, renewed its subscription, or acknowledged updates."""

    subscription: Subscription


class PeerUpdated(NamedTuple):
    """Another control host sent an update to this one."""

    update: Update


class SilenceReported(NamedTuple):
    """An entry host reported that a target leaves SYNs unanswered."""

    host: HostName
    report: SilenceReport


class SilenceRefuted(NamedTuple):
    """An entry host said that a target answered one of its callers."""

    lifetime: Lifetime


class SilenceQueryEnded(NamedTuple):
    """The time of :class:`AwaitRefutation` is over."""

    lifetime: Lifetime


class ConfigurationCommitted(NamedTuple):
    """A configuration was committed and applied on this host."""

    configuration: StoredConfiguration


class EvacuationsCommitted(NamedTuple):
    """A change of the evacuated zones was committed and applied on this host."""

    evacuations: Evacuations


class ControlHostsChanged(NamedTuple):
    """The set of known control hosts, including this one."""

    names: frozenset[HostName]


class Tick(NamedTuple):
    """Periodic timer: expires targets and subscriptions, and sends due updates and replies.

    It is due several times a second.
    """


class PublicationContinued(NamedTuple):
    """The delay of :class:`ContinuePublication` is over."""


CheckInEvent = (
    CheckedIn
    | Deregistered
    | DepartureConfirmed
    | Subscribed
    | PeerUpdated
    | SilenceReported
    | SilenceRefuted
    | SilenceQueryEnded
    | ConfigurationCommitted
    | EvacuationsCommitted
    | ControlHostsChanged
    | PublicationContinued
    | Tick
)


class SendUpdate(NamedTuple):
    """Send a message to a subscriber, or a subscription to a control host."""

    host: HostName
    body: Update | ConfigurationUpdate | Subscription | SilenceQuery


class CheckInReply(NamedTuple):
    """Reply to a target.

    :param is_replicated: whether the change would survive the loss of this host: all subscribers or
        another control host acknowledged it, or there is no other control host. True for
        check-ins of ready targets, which wait for no acknowledgement; false for conflicting ones.
    :param leaving: the lifetime that exits once it has a reply that confirms its deregistration.
    """

    token: int
    outcome: CheckInOutcome
    is_replicated: bool
    leaving: Lifetime | None = None


class Departed(NamedTuple):
    """A target that deregistered has ended.

    :param is_confirmed: whether it received the confirmation.
    """

    entry: TargetEntry
    is_confirmed: bool


class Expired(NamedTuple):
    """A target missed its heartbeats."""

    entry: TargetEntry


class AwaitRefutation(NamedTuple):
    """Pass :class:`SilenceQueryEnded` after a delay."""

    lifetime: Lifetime
    delay_seconds: float


class ReportedSilent(NamedTuple):
    """Several entry hosts reported a target that still has recent heartbeats."""

    entry: TargetEntry


class SubscriberLost(NamedTuple):
    """A subscription expired because its host stopped renewing it."""

    host: HostName


class SubscriberAppeared(NamedTuple):
    """A host subscribed for the first time, or again after its subscription had expired."""

    host: HostName


class ContinuePublication(NamedTuple):
    """Handle other events that are waiting, then pass :class:`PublicationContinued`.

    :param delay_seconds: minimum delay; 0 if only events that wait already come first.
    """

    delay_seconds: float


CheckInEffect = (
    SendUpdate
    | CheckInReply
    | Departed
    | Expired
    | AwaitRefutation
    | ReportedSilent
    | SubscriberLost
    | SubscriberAppeared
    | ContinuePublication
)
