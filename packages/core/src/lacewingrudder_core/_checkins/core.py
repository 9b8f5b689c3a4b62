"""Check-ins on a control host: confirms what targets say once those who must know have heard it."""

from __future__ import annotations

from typing import NamedTuple

from .._notes.configurations import StoredConfiguration
from ..core import Core
from ..types import HostName, TargetName, ZoneName
from .registry import CheckInOutcome, Registry
from .subscribers import Subscribers
from .types import CheckIn, ConfigurationUpdate, LifeState, Subscription, TargetEntry, Update

CONFIRM_SECONDS = 0.6
"""How long a drain waits for its confirmations; a target waits a second for its answer."""

RESEND_SECONDS = 0.12
"""When an update that a drain waits for is sent again; twice the round trip between zones."""


class CheckedIn(NamedTuple):
    """A target checked in; the answer carries the token."""

    token: int
    call: CheckIn


class Deregistered(NamedTuple):
    """A target says that it ends; the answer carries the token.

    :param started_ms: the lifetime, if the call named it.
    """

    token: int
    target: TargetName
    started_ms: int | None


class Subscribed(NamedTuple):
    """Another host subscribes, or confirms what it has taken in."""

    subscription: Subscription


class PeerUpdated(NamedTuple):
    """Another control host published to this one."""

    update: Update


class ConfigurationCommitted(NamedTuple):
    """A configuration was committed and applied on this host."""

    configuration: StoredConfiguration


class ControlHostsChanged(NamedTuple):
    """The control hosts that this one knows, itself among them."""

    names: frozenset[HostName]


class Tick(NamedTuple):
    """Time passed; due several times a second."""


CheckInEvent = (
    CheckedIn
    | Deregistered
    | Subscribed
    | PeerUpdated
    | ConfigurationCommitted
    | ControlHostsChanged
    | Tick
)


class SendUpdate(NamedTuple):
    """Publish to a subscriber, or subscribe to a control host."""

    host: HostName
    body: Update | ConfigurationUpdate | Subscription


class CheckInReply(NamedTuple):
    """Answer a target.

    :param is_replicated: whether what it said is known where it has to be.
    """

    token: int
    outcome: CheckInOutcome
    is_replicated: bool


class Expired(NamedTuple):
    """A target missed its heartbeats."""

    entry: TargetEntry


class SubscriberLost(NamedTuple):
    """A subscriber is no longer heard."""

    host: HostName


class SubscriberAppeared(NamedTuple):
    """A subscriber is heard for the first time, or again."""

    host: HostName


CheckInEffect = SendUpdate | CheckInReply | Expired | SubscriberLost | SubscriberAppeared


class _Waiting(NamedTuple):
    """A target that waits for the confirmation of its drain or end."""

    token: int
    outcome: CheckInOutcome
    number: int
    due: float
    resend: float


class CheckInCore(Core[CheckInEvent, CheckInEffect]):
    """Decisions on check-ins of one control host.

    :param name: this host.
    :param registry: what this host knows of targets.
    """

    def __init__(self, name: HostName, zone: ZoneName, registry: Registry) -> None:
        self._name = name
        self._zone = zone
        self._registry = registry
        self._subscribers = Subscribers()
        self._now = 0.0
        self._controls = frozenset({name})
        self._configuration: StoredConfiguration | None = None
        self._waiting: list[_Waiting] = []

    @property
    def registry(self) -> Registry:
        """What this host knows of targets, to be read only."""
        return self._registry

    def handle(self, event: CheckInEvent, now: float) -> list[CheckInEffect]:
        """Take one event."""
        self._now = now
        if isinstance(event, CheckedIn):
            call = event.call
            outcome = self._registry.check_in(call, now)
            is_promise = call.state is not LifeState.READY
            return self._published(event.token, outcome, is_promise, now)
        if isinstance(event, Deregistered):
            outcome = self._registry.deregister(event.target, event.started_ms, now)
            return self._published(event.token, outcome, True, now)
        if isinstance(event, Subscribed):
            return self._subscribed(event.subscription, now)
        if isinstance(event, PeerUpdated):
            heard = self._registry.merge_remote(event.update.entries, now)
            return self._push(now) if heard else []
        if isinstance(event, ConfigurationCommitted):
            return self._committed(event.configuration)
        if isinstance(event, ControlHostsChanged):
            self._controls = event.names
            return []
        return self._tick(now)

    def _published(
        self, token: int, outcome: CheckInOutcome, is_promise: bool, now: float
    ) -> list[CheckInEffect]:
        """Publish what a call changed, and answer it.

        A drain or an end is a promise that no new flow follows. A call that repeats one waits like
        the first: its sender got no answer, so that nobody else may know yet.
        """
        if outcome is CheckInOutcome.FOREIGN:
            return [CheckInReply(token, outcome, False)]
        if outcome is CheckInOutcome.RENEWED and not is_promise:
            return [CheckInReply(token, outcome, True)]
        effects = self._push(now)
        if not is_promise:
            return [CheckInReply(token, outcome, True), *effects]
        number = self._registry.position.number
        waiting = _Waiting(token, outcome, number, now + CONFIRM_SECONDS, now + RESEND_SECONDS)
        self._waiting.append(waiting)
        return effects + self._confirm(now)

    def _subscribed(self, subscription: Subscription, now: float) -> list[CheckInEffect]:
        host = subscription.host
        is_new = self._subscribers.renew(subscription, now)
        effects: list[CheckInEffect] = [SubscriberAppeared(host)] if is_new else []
        if subscription.is_poll or self._is_due(subscription, now):
            effects.append(self._update(subscription, now))
        if not subscription.is_control and subscription.version < self._version:
            effects.append(self._configuration_for(host))
        return effects + self._confirm(now)

    def _committed(self, configuration: StoredConfiguration) -> list[CheckInEffect]:
        """Send a configuration to this host's zone at once; others ask where theirs is late."""
        if configuration.version <= self._version:
            return []
        self._configuration = configuration
        return [
            self._configuration_for(subscription.host)
            for subscription in self._subscribers.all()
            if not subscription.is_control and subscription.zone == self._zone
        ]

    def _tick(self, now: float) -> list[CheckInEffect]:
        expired = self._registry.expire(now)
        effects: list[CheckInEffect] = [Expired(entry) for entry in expired]
        effects += self._push(now)
        effects += [SubscriberLost(host) for host in self._subscribers.drop_silent(now)]
        return effects + self._resend(now) + self._confirm(now)

    def _resend(self, now: float) -> list[CheckInEffect]:
        effects: list[CheckInEffect] = []
        if any(now >= row.resend for row in self._waiting):
            effects = [
                self._update(row, now) for row in self._subscribers.all() if self._lacks(row)
            ]
            again = now + RESEND_SECONDS
            self._waiting = [
                row._replace(resend=again) if now >= row.resend else row for row in self._waiting
            ]
        return effects

    def _push(self, now: float) -> list[CheckInEffect]:
        """Publish to the subscribers that are due; what is held back goes out with a later tick."""
        return [
            self._update(subscription, now)
            for subscription in self._subscribers.all()
            if self._is_due(subscription, now)
        ]

    def _is_due(self, subscription: Subscription, now: float) -> bool:
        if not self._lacks(subscription):
            return False
        number = self._registry.position.number
        return self._subscribers.is_due(subscription.host, self._registry.last_removal, number, now)

    def _confirm(self, now: float) -> list[CheckInEffect]:
        """Answer the targets whose news all subscribers have, or which waited long enough."""
        effects: list[CheckInEffect] = []
        kept: list[_Waiting] = []
        for row in self._waiting:
            lacking = self._lacking(row.number)
            if not lacking or now >= row.due:
                confirmed = not lacking or self._has_second_control(row.number)
                effects.append(CheckInReply(row.token, row.outcome, confirmed))
            else:
                kept.append(row)
        self._waiting = kept
        return effects

    def _lacking(self, number: int) -> list[HostName]:
        return [row.host for row in self._subscribers.all() if not self._has(row, number)]

    def _has_second_control(self, number: int) -> bool:
        """Whether the news would outlive this host."""
        controls = [row for row in self._subscribers.all() if row.is_control]
        return self._controls == {self._name} or any(self._has(row, number) for row in controls)

    def _has(self, subscription: Subscription, number: int) -> bool:
        epoch, known = subscription.position
        return epoch == self._registry.position.epoch and known >= number

    def _lacks(self, subscription: Subscription) -> bool:
        return not self._has(subscription, self._registry.position.number)

    def _update(self, subscription: Subscription, now: float) -> SendUpdate:
        self._subscribers.note_sent(subscription.host, self._registry.position.number, now)
        since, entries = self._registry.since(subscription.position)
        body = Update(
            self._name,
            self._registry.position,
            since,
            entries,
            self._version,
            tuple(sorted(self._controls)),
            self._subscribers.peers(subscription.host, subscription.zone, self._now),
        )
        return SendUpdate(subscription.host, body)

    def _configuration_for(self, host: HostName) -> SendUpdate:
        assert self._configuration is not None
        return SendUpdate(host, ConfigurationUpdate(*self._configuration))

    @property
    def _version(self) -> int:
        return -1 if self._configuration is None else self._configuration.version
