"""Targets that deregistered, and when each of them is taken for ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from .types import EntryKey, Lifetime

EXIT_GRACE_HEARTBEATS = 1.25
"""Heartbeat intervals after which a target with the confirmation of its deregistration has exited.
One that runs on checks in before."""

MAX_LEAVING_SECONDS = 10.0
"""How long a target that deregisters may run on after its last call without a confirmation: longer
than the grace period that a process gets to exit."""


class Departure(NamedTuple):
    """A target that deregistered and has had the time to exit.

    :param is_confirmed: whether it received the confirmation.
    """

    key: EntryKey
    is_confirmed: bool


class _Deadline(NamedTuple):
    ends_at: float
    is_confirmed: bool


class Departures:
    """The targets that deregistered and may still run.

    A target exits when it has the confirmation, which may be lost or late although it was sent. A
    target that calls again, here or at another control host, runs on without one.

    :param heartbeat_seconds: interval at which targets check in.
    """

    def __init__(self, heartbeat_seconds: float) -> None:
        self._exit_grace_seconds = EXIT_GRACE_HEARTBEATS * heartbeat_seconds
        self._deadlines: dict[EntryKey, _Deadline] = {}

    def __len__(self) -> int:
        return len(self._deadlines)

    def __contains__(self, key: EntryKey) -> bool:
        return key in self._deadlines

    def record_call(self, key: EntryKey, now: float) -> None:
        """Record that a target deregisters, or calls again and thus has no confirmation yet."""
        self._deadlines[key] = _Deadline(now + MAX_LEAVING_SECONDS, False)

    def record_confirmation(self, lifetime: Lifetime, now: float) -> None:
        """Record that a target received the confirmation, if it deregistered."""
        for key in self._deadlines:
            if key.lifetime == lifetime:
                self._deadlines[key] = _Deadline(now + self._exit_grace_seconds, True)

    def remove(self, key: EntryKey) -> None:
        """Forget a target that has ended."""
        self._deadlines.pop(key, None)

    def pop_ended(
        self, now: float, is_heard_elsewhere: Callable[[EntryKey], bool]
    ) -> list[Departure]:
        """Remove and return the targets that have exited.

        :param is_heard_elsewhere: whether another control host receives the heartbeats of a target.
            It may still run then, even if it received the confirmation.
        """
        ended = [
            Departure(key, row.is_confirmed)
            for key, row in self._deadlines.items()
            if row.ends_at <= now and not is_heard_elsewhere(key)
        ]
        for departure in ended:
            del self._deadlines[departure.key]
        return ended
