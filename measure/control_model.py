"""A model of a control host: the product's core, with messages that take a constant time."""

from __future__ import annotations

import abc
import functools
import itertools
from collections.abc import Callable, Sequence
from typing import Any

from lacewingrudder_core import checkins
from lacewingrudder_core.checkins import (
    CheckIn,
    CheckInCore,
    Position,
    Registry,
    SilenceQuery,
    SilenceReport,
    Subscription,
    TargetEntry,
    Update,
)
from lacewingrudder_core.types import ZoneName

CONTROL = "10.0.0.1:7720"
HEARTBEAT_SECONDS = 1.2
POLL_SECONDS = 0.5
TICK_SECONDS = 0.1
DELAY_SECONDS = 0.001

Action = Callable[[], None]


class Subscriber(abc.ABC):
    """An entry host as the control host sees it.

    :param zone: zone of the host.
    """

    def __init__(self, zone: ZoneName) -> None:
        self.zone = zone

    @abc.abstractmethod
    def apply_update(self, update: Update, now: float) -> None:
        """Apply a published change of the targets."""

    @abc.abstractmethod
    def has_answered(self, query: SilenceQuery, now: float) -> bool:
        """Return whether a target answered what was sent after the silence began."""

    @property
    @abc.abstractmethod
    def position(self) -> Position:
        """Position up to which updates are applied."""


class ControlModel:
    """Receives check-ins and reports, and sends updates to all entry hosts.

    :param hosts: the entry hosts.
    :param schedule: runs an action at a time.
    :param now: returns the current time.
    """

    def __init__(
        self,
        hosts: Sequence[Subscriber],
        schedule: Callable[[float, Action], None],
        now: Callable[[], float],
    ) -> None:
        self._hosts = hosts
        self._schedule = schedule
        self._now = now
        self._core = CheckInCore(CONTROL, "z0", Registry(1, HEARTBEAT_SECONDS))
        self._sequences = itertools.count(1)

    def run_until(self, end: float) -> None:
        """Receive the polls of all hosts, and tick, until some time."""
        self._repeat(POLL_SECONDS, end, self._poll_all)
        self._repeat(TICK_SECONDS, end, lambda: self._handle(checkins.Tick()))

    def check_in(self, entry: TargetEntry) -> None:
        """Receive a check-in of a target."""
        sequence = next(self._sequences)
        call = CheckIn(*entry[:7], sequence, entry.warmup_remaining_ms)
        self._handle(checkins.CheckedIn(sequence, call))

    def receive_report(self, host: int, report: SilenceReport) -> None:
        """Receive the report of a host, given by its index."""
        event = checkins.SilenceReported(str(host), report)
        self._after(DELAY_SECONDS, self._handle, event)

    def _repeat(self, interval: float, end: float, action: Action) -> None:
        action()
        at = self._now() + interval
        if at < end:
            self._schedule(at, functools.partial(self._repeat, interval, end, action))

    def _poll_all(self) -> None:
        for number in range(len(self._hosts)):
            self._subscribe(number)

    def _subscribe(self, number: int) -> None:
        host = self._hosts[number]
        subscription = Subscription(str(number), host.zone, False, host.position, -1, False, True)
        self._handle(checkins.Subscribed(subscription))

    def _handle(self, event: checkins.CheckInEvent) -> None:
        for effect in self._core.handle(event, self._now()):
            match effect:
                case checkins.SendUpdate(host, Update() as update):
                    self._after(DELAY_SECONDS, self._update_host, int(host), update)
                case checkins.SendUpdate(host, SilenceQuery() as query):
                    self._after(DELAY_SECONDS, self._query_host, int(host), query)
                case checkins.ContinuePublication(delay):
                    self._after(delay, self._handle, checkins.PublicationContinued())
                case checkins.AwaitRefutation(lifetime, delay):
                    self._after(delay, self._handle, checkins.SilenceQueryEnded(lifetime))

    def _query_host(self, number: int, query: SilenceQuery) -> None:
        if self._hosts[number].has_answered(query, self._now()):
            self._after(DELAY_SECONDS, self._handle, checkins.SilenceRefuted(query.lifetime))

    def _update_host(self, number: int, update: Update) -> None:
        self._hosts[number].apply_update(update, self._now())
        self._subscribe(number)

    def _after(self, seconds: float, action: Callable[..., None], *arguments: Any) -> None:
        self._schedule(self._now() + seconds, functools.partial(action, *arguments))
