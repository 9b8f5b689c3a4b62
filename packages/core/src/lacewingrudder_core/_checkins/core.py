"""Check-ins at a control host: publishes the changes and replies to the targets.

A target that drains or deregisters gets its reply once all subscribers have acknowledged the
change, or at the latest after :data:`MAX_REPLY_DELAY_SECONDS`.
"""

from __future__ import annotations

from typing import NamedTuple

from .._notes.configurations import StoredConfiguration
from ..core import Core
from ..types import HostName, TargetName, ZoneName
from .registry import CheckInOutcome, Registry
from .subscribers import Subscribers
from .types import CheckIn, ConfigurationUpdate, LifeState, Subscription, TargetEntry, Update

MAX_REPLY_DELAY_SECONDS = 0.6
"""How long the reply to a drain waits for acknowledgements; targets time out after a second."""

RESEND_INTERVAL_SECONDS = 0.12
"""Interval for resending an update whose acknowledgement a drain waits for: twice the round trip
between zones."""


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


class Subscribed(NamedTuple):
    """Another host subscribed, renewed its subscription, or acknowledged updates."""

    subscription: Subscription


class PeerUpdated(NamedTuple):
    """Another control host sent an update to this one."""

    update: Update


class ConfigurationCommitted(NamedTuple):
    """A configuration was committed and applied on this host."""

    configuration: StoredConfiguration


class ControlHostsChanged(NamedTuple):
    """The set of known control hosts, including this one."""

    names: frozenset[HostName]


class Tick(NamedTuple):
    """Periodic timer: expires targets and subscriptions, and sends due updates and replies.

    It is due several times a second.
    """


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
    """Send an update or configuration to a subscriber, or a subscription to a control host."""

    host: HostName
    body: Update | ConfigurationUpdate | Subscription


class CheckInReply(NamedTuple):
    """Reply to a target.

    :param is_replicated: whether the change would survive the loss of this host: all subscribers or
        another control host acknowledged it, or there is no other control host. True for
        check-ins of ready targets, which wait for no acknowledgement; false for conflicting ones.
    """

    token: int
    outcome: CheckInOutcome
    is_replicated: bool


class Expired(NamedTuple):
    """A target missed its heartbeats."""

    entry: TargetEntry


class SubscriberLost(NamedTuple):
    """A subscription expired because its host stopped renewing it."""

    host: HostName


class SubscriberAppeared(NamedTuple):
    """A host subscribed for the first time, or again after its subscription had expired."""

    host: HostName


CheckInEffect = SendUpdate | CheckInReply | Expired | SubscriberLost | SubscriberAppeared


class _PendingReply(NamedTuple):
    """A drain or deregistration whose target awaits the reply.

    :param number: change that the subscribers have to acknowledge.
    :param reply_by: when the reply is sent at the latest.
    :param resend_at: when the update is sent again to hosts that haven't acknowledged it.
    """

    token: int
    outcome: CheckInOutcome
    number: int
    reply_by: float
    resend_at: float


class CheckInCore(Core[CheckInEvent, CheckInEffect]):
    """Handles check-ins at one control host and publishes their changes to subscribers.

    :param name: name of this host.
    :param zone: zone of this host.
    :param registry: the targets that this host knows.
    """

    def __init__(self, name: HostName, zone: ZoneName, registry: Registry) -> None:
        self._name = name
        self._zone = zone
        self._registry = registry
        self._subscribers = Subscribers()
        self._now = 0.0
        self._controls = frozenset({name})
        self._configuration: StoredConfiguration | None = None
        self._pending_replies: list[_PendingReply] = []

    @property
    def registry(self) -> Registry:
        """The targets that this host knows; read-only for callers."""
        return self._registry

    def handle(self, event: CheckInEvent, now: float) -> list[CheckInEffect]:
        """Handle an event and return its effects."""
        self._now = now
        if isinstance(event, CheckedIn):
            call = event.call
            outcome = self._registry.check_in(call, now)
            is_removal = call.state is not LifeState.READY
            return self._publish_and_reply(event.token, outcome, is_removal, now)
        if isinstance(event, Deregistered):
            outcome = self._registry.deregister(event.target, event.started_ms, now)
            return self._publish_and_reply(event.token, outcome, True, now)
        if isinstance(event, Subscribed):
            return self._handle_subscription(event.subscription, now)
        if isinstance(event, PeerUpdated):
            is_republished = self._registry.merge_remote(event.update.entries, now)
            return self._send_due_updates(now) if is_republished else []
        if isinstance(event, ConfigurationCommitted):
            return self._handle_commit(event.configuration)
        if isinstance(event, ControlHostsChanged):
            self._controls = event.names
            return []
        return self._handle_tick(now)

    def _publish_and_reply(
        self, token: int, outcome: CheckInOutcome, is_removal: bool, now: float
    ) -> list[CheckInEffect]:
        """Publish the changes of a call and reply to it.

        A removal is a drain or a deregistration. Once it is confirmed, no new flow may reach the
        target. A repeated call waits like the first one: its sender got no reply, so other hosts
        may not know of the change yet.
        """
        if outcome is CheckInOutcome.CONFLICTING:
            return [CheckInReply(token, outcome, False)]
        if outcome is CheckInOutcome.RENEWED and not is_removal:
            return [CheckInReply(token, outcome, True)]
        effects = self._send_due_updates(now)
        if not is_removal:
            return [CheckInReply(token, outcome, True), *effects]
        number = self._registry.position.number
        pending = _PendingReply(
            token, outcome, number, now + MAX_REPLY_DELAY_SECONDS, now + RESEND_INTERVAL_SECONDS
        )
        self._pending_replies.append(pending)
        return effects + self._send_due_replies(now)

    def _handle_subscription(self, subscription: Subscription, now: float) -> list[CheckInEffect]:
        host = subscription.host
        is_new = self._subscribers.renew(subscription, now)
        effects: list[CheckInEffect] = [SubscriberAppeared(host)] if is_new else []
        if subscription.is_poll or self._is_due(subscription, now):
            effects.append(self._make_update(subscription, now))
        if not subscription.is_control and subscription.version < self._version:
            effects.append(self._make_configuration_update(host))
        return effects + self._send_due_replies(now)

    def _handle_commit(self, configuration: StoredConfiguration) -> list[CheckInEffect]:
        """Send a configuration to the subscribed entry hosts in this host's zone.

        Entry hosts in other zones receive it when they next renew their subscription.
        """
        if configuration.version <= self._version:
            return []
        self._configuration = configuration
        return [
            self._make_configuration_update(subscription.host)
            for subscription in self._subscribers.all()
            if not subscription.is_control and subscription.zone == self._zone
        ]

    def _handle_tick(self, now: float) -> list[CheckInEffect]:
        expired = self._registry.expire(now)
        effects: list[CheckInEffect] = [Expired(entry) for entry in expired]
        effects += self._send_due_updates(now)
        effects += [SubscriberLost(host) for host in self._subscribers.remove_expired(now)]
        return effects + self._resend_updates(now) + self._send_due_replies(now)

    def _resend_updates(self, now: float) -> list[CheckInEffect]:
        effects: list[CheckInEffect] = []
        if any(now >= row.resend_at for row in self._pending_replies):
            effects = [
                self._make_update(row, now)
                for row in self._subscribers.all()
                if self._is_lagging(row)
            ]
            resend_at = now + RESEND_INTERVAL_SECONDS
            self._pending_replies = [
                row._replace(resend_at=resend_at) if now >= row.resend_at else row
                for row in self._pending_replies
            ]
        return effects

    def _send_due_updates(self, now: float) -> list[CheckInEffect]:
        """Send updates to the subscribers that are due; a later tick serves the others."""
        return [
            self._make_update(subscription, now)
            for subscription in self._subscribers.all()
            if self._is_due(subscription, now)
        ]

    def _is_due(self, subscription: Subscription, now: float) -> bool:
        if not self._is_lagging(subscription):
            return False
        number = self._registry.position.number
        return self._subscribers.is_due(subscription.host, self._registry.last_removal, number, now)

    def _send_due_replies(self, now: float) -> list[CheckInEffect]:
        """Reply to targets whose change all subscribers have acknowledged, or whose time is up."""
        effects: list[CheckInEffect] = []
        still_pending: list[_PendingReply] = []
        for row in self._pending_replies:
            lagging = self._lagging_hosts(row.number)
            if not lagging or now >= row.reply_by:
                is_replicated = not lagging or self._is_replicated(row.number)
                effects.append(CheckInReply(row.token, row.outcome, is_replicated))
            else:
                still_pending.append(row)
        self._pending_replies = still_pending
        return effects

    def _lagging_hosts(self, number: int) -> list[HostName]:
        return [
            row.host for row in self._subscribers.all() if not self._has_acknowledged(row, number)
        ]

    def _is_replicated(self, number: int) -> bool:
        """Return whether a change would survive the loss of this host.

        Another control host must have acknowledged it, unless this is the only one.
        """
        controls = [row for row in self._subscribers.all() if row.is_control]
        return self._controls == {self._name} or any(
            self._has_acknowledged(row, number) for row in controls
        )

    def _has_acknowledged(self, subscription: Subscription, number: int) -> bool:
        epoch, known = subscription.position
        return epoch == self._registry.position.epoch and known >= number

    def _is_lagging(self, subscription: Subscription) -> bool:
        return not self._has_acknowledged(subscription, self._registry.position.number)

    def _make_update(self, subscription: Subscription, now: float) -> SendUpdate:
        self._subscribers.record_sent(subscription.host, self._registry.position.number, now)
        since, entries = self._registry.changes_since(subscription.position)
        body = Update(
            self._name,
            self._registry.position,
            since,
            entries,
            self._version,
            tuple(sorted(self._controls)),
            self._subscribers.count_peers(subscription.host, subscription.zone, self._now),
        )
        return SendUpdate(subscription.host, body)

    def _make_configuration_update(self, host: HostName) -> SendUpdate:
        assert self._configuration is not None
        return SendUpdate(host, ConfigurationUpdate(*self._configuration))

    @property
    def _version(self) -> int:
        return -1 if self._configuration is None else self._configuration.version
