"""Check-ins at a control host: publishes the changes and replies to the targets.

A target that drains or deregisters gets its reply once all subscribers have acknowledged that it
gets no new flows, or at the latest after :data:`MAX_REPLY_DELAY_SECONDS`. Its end is published only
after the reply that lets it exit has arrived, since its open flows are served until then.
"""

from __future__ import annotations

import collections

from .._notes.configurations import StoredConfiguration
from .._notes.evacuations import Evacuations
from ..core import Core
from ..types import HostName, ZoneName
from .events import (
    AwaitRefutation,
    CheckedIn,
    CheckInEffect,
    CheckInEvent,
    CheckInReply,
    ConfigurationCommitted,
    ContinuePublication,
    ControlHostsChanged,
    DepartureConfirmed,
    Deregistered,
    EvacuationsCommitted,
    Expired,
    PeerUpdated,
    PublicationContinued,
    ReportedSilent,
    SendUpdate,
    SilenceQueryEnded,
    SilenceRefuted,
    SilenceReported,
    Subscribed,
    SubscriberAppeared,
    SubscriberLost,
)
from .pending_replies import MAX_REPLY_DELAY_SECONDS, RESEND_INTERVAL_SECONDS, PendingReply
from .publication import Publication
from .registry import Registry
from .silence_reports import QUERY_TIMEOUT_SECONDS, SilenceReports
from .subscribers import Subscribers
from .types import (
    CheckInOutcome,
    ConfigurationUpdate,
    LifeState,
    Lifetime,
    Position,
    SilenceQuery,
    Subscription,
    Update,
)


class CheckInCore(Core[CheckInEvent, CheckInEffect]):
    """Handles check-ins at one control host and publishes their changes to subscribers.

    :param name: name of this host.
    :param zone: zone of this host.
    :param registry: the targets that this host knows.
    :param complete_from: when all other hosts that run have subscribed. Until then, that all
        subscribers acknowledged a change does not show that all hosts know it.
    """

    def __init__(
        self,
        name: HostName,
        zone: ZoneName,
        registry: Registry,
        complete_from: float = float("-inf"),
    ) -> None:
        self._name = name
        self._zone = zone
        self._registry = registry
        self._subscribers = Subscribers()
        self._publication = Publication()
        self._continues_at: float | None = None
        self._controls: tuple[HostName, ...] = (name,)
        self._configuration: StoredConfiguration | None = None
        self._evacuations = Evacuations()
        self._pending_replies: collections.deque[PendingReply] = collections.deque()
        self._silence_reports = SilenceReports()
        self._complete_from = complete_from

    @property
    def registry(self) -> Registry:
        """The targets that this host knows; read-only for callers."""
        return self._registry

    @property
    def entry_hosts(self) -> list[HostName]:
        """The entry hosts that subscribe to this host."""
        return self._subscribers.entry_hosts

    def handle(self, event: CheckInEvent, now: float) -> list[CheckInEffect]:
        """Handle an event and return its effects."""
        if isinstance(event, CheckedIn):
            return self._handle_check_in(event, now)
        if isinstance(event, Deregistered):
            return self._handle_deregistration(event, now)
        if isinstance(event, DepartureConfirmed):
            self._registry.confirm_departure(event.lifetime, now)
            return []
        if isinstance(event, Subscribed):
            return self._handle_subscription(event.subscription, now)
        if isinstance(event, PeerUpdated):
            is_republished = self._registry.merge_remote(event.update.entries, now)
            return self._publish(True, now) if is_republished else []
        if isinstance(event, SilenceReported | SilenceRefuted | SilenceQueryEnded):
            return self._handle_silence(event, now)
        if isinstance(event, ConfigurationCommitted | EvacuationsCommitted):
            return self._handle_commit(event, now)
        if isinstance(event, ControlHostsChanged):
            self._controls = tuple(sorted(event.names))
            return []
        if isinstance(event, PublicationContinued):
            self._continues_at = None
            return self._continue_publication(now)
        return self._handle_tick(now)

    def _handle_check_in(self, event: CheckedIn, now: float) -> list[CheckInEffect]:
        last_removal = self._registry.last_removal
        outcome = self._registry.check_in(event.call, now)
        if outcome not in (CheckInOutcome.OUTDATED, CheckInOutcome.CONFLICTING):
            self._silence_reports.refute(event.call.lifetime)
        if event.call.state is not LifeState.READY:
            return self._publish_removal(event.token, outcome, now)
        if outcome is CheckInOutcome.CONFLICTING:
            return [CheckInReply(event.token, outcome, False)]
        reply = CheckInReply(event.token, outcome, True)
        if outcome is CheckInOutcome.RENEWED:
            return [reply]
        return [reply, *self._publish(self._registry.last_removal > last_removal, now)]

    def _handle_deregistration(self, event: Deregistered, now: float) -> list[CheckInEffect]:
        leaving = self._registry.find_leaving(event.target, event.started_ms)
        outcome = self._registry.deregister(event.target, event.started_ms, now)
        lifetime = leaving[0].lifetime if leaving else None
        return self._publish_removal(event.token, outcome, now, lifetime)

    def _publish_removal(
        self, token: int, outcome: CheckInOutcome, now: float, leaving: Lifetime | None = None
    ) -> list[CheckInEffect]:
        """Publish that a target gets no new flows; the reply waits for acknowledgements.

        Once it is confirmed, no new flow may reach the target. A repeated call waits like the first
        one: its sender got no reply, so other hosts may not know of the change yet.
        """
        if outcome is CheckInOutcome.CONFLICTING:
            return [CheckInReply(token, outcome, False)]
        effects = self._publish(True, now)
        number = self._registry.position.number
        self._pending_replies.append(
            PendingReply(token, outcome, number, now + MAX_REPLY_DELAY_SECONDS, leaving)
        )
        return effects + self._send_due_replies(now)

    def _handle_subscription(self, subscription: Subscription, now: float) -> list[CheckInEffect]:
        host = subscription.host
        acknowledged = self._acknowledged_number(subscription.position)
        is_new = self._subscribers.renew(subscription, acknowledged, now)
        effects: list[CheckInEffect] = [SubscriberAppeared(host)] if is_new else []
        if subscription.is_poll or self._is_due(host, now):
            effects.append(self._make_update(host, now))
        is_outdated = subscription.version < self._version and self._configuration is not None
        if not subscription.is_control and is_outdated:
            effects.append(self._make_configuration_update(host))
        return effects + self._send_due_replies(now)

    def _handle_silence(
        self, event: SilenceReported | SilenceRefuted | SilenceQueryEnded, now: float
    ) -> list[CheckInEffect]:
        if isinstance(event, SilenceReported):
            return self._handle_silence_report(event, now)
        if isinstance(event, SilenceRefuted):
            self._silence_reports.refute(event.lifetime)
            return []
        if not self._silence_reports.end_query(event.lifetime):
            return []
        entry = self._registry.mark_silent(event.lifetime, now)
        return [] if entry is None else [ReportedSilent(entry), *self._publish(True, now)]

    def _handle_silence_report(self, event: SilenceReported, now: float) -> list[CheckInEffect]:
        lifetime = event.report.lifetime
        target, heard_at = self._registry.get(lifetime), self._registry.heard_at(lifetime)
        if target is None or target.state is not LifeState.READY or heard_at is None:
            return []
        self._silence_reports.record(event.host, event.report, target, now)
        seconds = self._silence_reports.start_query(lifetime, heard_at, now)
        if seconds is None:
            return []
        query = SilenceQuery(lifetime, seconds)
        asked: list[CheckInEffect] = [
            SendUpdate(host, query) for host in self._subscribers.entry_hosts_in(target.zone)
        ]
        return [*asked, AwaitRefutation(lifetime, QUERY_TIMEOUT_SECONDS)]

    def _handle_commit(
        self, event: ConfigurationCommitted | EvacuationsCommitted, now: float
    ) -> list[CheckInEffect]:
        """Send what was committed to the subscribed entry hosts in this host's zone.

        Entry hosts in other zones receive it when they next renew their subscription.
        """
        if isinstance(event, EvacuationsCommitted):
            if event.evacuations.revision <= self._evacuations.revision:
                return []
            self._evacuations = event.evacuations
            return [self._make_update(host, now) for host in self._local_entry_hosts]
        if event.configuration.version <= self._version:
            return []
        self._configuration = event.configuration
        return [self._make_configuration_update(host) for host in self._local_entry_hosts]

    @property
    def _local_entry_hosts(self) -> list[HostName]:
        return self._subscribers.entry_hosts_in(self._zone)

    def _handle_tick(self, now: float) -> list[CheckInEffect]:
        last_removal = self._registry.last_removal
        effects: list[CheckInEffect] = [*self._registry.end_departed(now)]
        effects += [Expired(entry) for entry in self._registry.expire(now)]
        self._silence_reports.expire(now)
        effects += [SubscriberLost(host) for host in self._subscribers.remove_expired(now)]
        effects += self._resend_updates(now)
        if self._subscribers.lagging(self._registry.position.number):
            effects += self._publish(self._registry.last_removal > last_removal, now)
        return effects + self._send_due_replies(now)

    def _resend_updates(self, now: float) -> list[CheckInEffect]:
        """Send the updates that replies wait for again to hosts that didn't acknowledge them."""
        if not self._pending_replies:
            return []
        return [
            self._make_update(host, now)
            for host in self._subscribers.lagging(self._pending_replies[-1].number)
            if self._subscribers.seconds_since_sent(host, now) >= RESEND_INTERVAL_SECONDS
        ]

    def _publish(self, is_removal: bool, now: float) -> list[CheckInEffect]:
        """Publish the changes to all subscribers, at once or when the minimum interval is over."""
        if is_removal:
            self._publication.request_removal(now)
        else:
            self._publication.request(now)
        return self._continue_publication(now)

    def _continue_publication(self, now: float) -> list[CheckInEffect]:
        """Send updates to the next subscribers of the publication that are due."""
        if self._publication.is_due(now):
            self._publication.start(self._subscribers.lagging(self._registry.position.number), now)
        effects: list[CheckInEffect] = [
            self._make_update(host, now)
            for host in self._publication.pop_batch()
            if self._is_due(host, now)
        ]
        at = self._publication.continues_at(now)
        if at is not None and (self._continues_at is None or at < self._continues_at):
            self._continues_at = at
            effects.append(ContinuePublication(at - now))
        return effects

    def _is_due(self, host: HostName, now: float) -> bool:
        if self._subscribers.get(host) is None:
            return False
        number = self._registry.position.number
        if self._subscribers.acknowledged(host) >= number:
            return False
        return self._subscribers.is_due(host, self._registry.last_removal, number, now)

    def _send_due_replies(self, now: float) -> list[CheckInEffect]:
        """Reply to targets whose change all subscribers have acknowledged, or whose time is up."""
        effects: list[CheckInEffect] = []
        while self._pending_replies:
            row = self._pending_replies[0]
            is_acknowledged = self._is_acknowledged(row.number, now)
            if not is_acknowledged and now < row.reply_by:
                break
            self._pending_replies.popleft()
            is_replicated = is_acknowledged or self._is_replicated(row.number)
            effects.append(CheckInReply(row.token, row.outcome, is_replicated, row.leaving))
        return effects

    def _is_acknowledged(self, number: int, now: float) -> bool:
        """Return whether all hosts have acknowledged a change.

        While no host subscribes, that is true only if there is no other control host: this one may
        be cut off.
        """
        if now < self._complete_from:
            return False
        lowest = self._subscribers.lowest_acknowledged
        return self._controls == (self._name,) if lowest is None else number <= lowest

    def _is_replicated(self, number: int) -> bool:
        """Return whether a change would survive the loss of this host.

        Another control host must have acknowledged it, unless this is the only one.
        """
        return self._controls == (self._name,) or any(
            self._subscribers.acknowledged(host) >= number for host in self._subscribers.controls
        )

    def _acknowledged_number(self, position: Position) -> int:
        """Return the number of this host's last change that a subscriber applied, or -1."""
        return position.number if position.epoch == self._registry.position.epoch else -1

    def _make_update(self, host: HostName, now: float) -> SendUpdate:
        subscription = self._subscribers.get(host)
        assert subscription is not None
        self._subscribers.record_sent(host, self._registry.position.number, now)
        since, entries = self._registry.changes_since(subscription.position, now)
        body = Update(
            self._name,
            self._registry.position,
            since,
            entries,
            self._version,
            self._controls,
            self._subscribers.count_peers(host, subscription.zone, now),
            self._evacuations,
        )
        return SendUpdate(host, body)

    def _make_configuration_update(self, host: HostName) -> SendUpdate:
        assert self._configuration is not None
        return SendUpdate(host, ConfigurationUpdate(*self._configuration))

    @property
    def _version(self) -> int:
        return -1 if self._configuration is None else self._configuration.version
