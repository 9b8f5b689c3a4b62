"""The control host: takes notes and orders, keeps the log of changes and spreads it."""

from __future__ import annotations

from typing import NamedTuple

from .core import Core
from .messages import OperatorReply, OperatorRequest, Status, StatusRequest, SubmitNote
from .notes import Catalogue, Change, SubmitReply, SubmitTag
from .spread import Advanced, SendHost, SnapshotPulled, SpreadCore, Subscribed
from .types import HostName


class Requested(NamedTuple):
    """An operator sent a request; the answer carries the same token."""

    token: int
    request: OperatorRequest


class Persisted(NamedTuple):
    """A change is durable on this host's disk."""

    change: Change


class Tick(NamedTuple):
    """Time passed."""


ControlEvent = Requested | Subscribed | SnapshotPulled | Persisted | Tick


class Reply(NamedTuple):
    """Answer an operator."""

    token: int
    body: OperatorReply | Status


class Persist(NamedTuple):
    """Write a change and sync it, then report :class:`Persisted`."""

    change: Change


ControlEffect = Reply | SendHost | Persist


class ControlCore(Core[ControlEvent, ControlEffect]):
    """Decisions of a control host.

    :param name: the name of this host.
    :param catalogue: the catalogue recovered from disk.
    """

    def __init__(self, name: HostName, catalogue: Catalogue) -> None:
        self._name = name
        self._catalogue = catalogue
        self._spread = SpreadCore(catalogue)
        self._pending: dict[int, int] = {}

    def handle(self, event: ControlEvent, now: float) -> list[ControlEffect]:
        """Take one event."""
        if isinstance(event, Requested):
            return self._requested(event, now)
        if isinstance(event, Subscribed | SnapshotPulled):
            return list(self._spread.handle(event, now))
        if isinstance(event, Persisted):
            return self._persisted(event.change, now)
        return []

    def _requested(self, event: Requested, now: float) -> list[ControlEffect]:
        request = event.request
        if isinstance(request, StatusRequest):
            return [Reply(event.token, self._status(now))]
        revision = self._catalogue.revision
        if self._pending:
            reply = SubmitReply(SubmitTag.REFUSED, revision, "another change is being written")
            return [Reply(event.token, OperatorReply(reply))]
        if isinstance(request, SubmitNote):
            problem = self._catalogue.check(request.note)
            if problem is not None:
                return [Reply(event.token, OperatorReply(problem))]
            change = Change(revision + 1, request.note, None)
        else:
            change = Change(revision + 1, None, request.order)
        self._pending[change.revision] = event.token
        return [Persist(change)]

    def _persisted(self, change: Change, now: float) -> list[ControlEffect]:
        self._catalogue = self._catalogue.apply(change)
        effects: list[ControlEffect] = []
        effects += self._spread.handle(Advanced(change, self._catalogue), now)
        token = self._pending.pop(change.revision, None)
        if token is not None:
            reply = SubmitReply(SubmitTag.ACCEPTED, change.revision, "")
            effects.append(Reply(token, OperatorReply(reply)))
        return effects

    def _status(self, now: float) -> Status:
        hosts = self._spread.hosts(now)
        revision = self._catalogue.revision
        missing = tuple(host.name for host in hosts if host.revision < revision)
        return Status(revision, self._name, True, hosts, missing)
