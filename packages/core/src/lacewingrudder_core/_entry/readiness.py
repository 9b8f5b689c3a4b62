"""Whether an entry host's picture of the fleet is fresh enough to choose targets for new flows.

A host that starts, or that stood still past its lease, holds old state. It goes on with open flows,
but chooses nothing until another host answered a new ping and what both hold agrees. A host that
nobody answers, alone or cut off, serves with what it has after a bounded wait.
"""

from __future__ import annotations

FROZEN_SECONDS = 1.5
WAIT_SECONDS = 3.0


class Readiness:
    """Notices gaps of this host's own clock, and when the host has caught up after one."""

    def __init__(self) -> None:
        self._last_tick: float | None = None
        self._waits_since: float | None = None
        self._is_confirmed = False
        self._stood_still = False
        self._was_ready = False

    def notice(self, now: float, is_alone: bool) -> bool:
        """Look at the time before any other decision.

        :param is_alone: whether no other host is known, so that there is nothing to wait for.
        :return: whether this host stood still, or starts.
        """
        last = self._last_tick
        if last is not None and now - last <= FROZEN_SECONDS:
            return False
        self._last_tick = now
        self._is_confirmed = False
        self._stood_still = True
        self._waits_since = None if is_alone else now
        return True

    def tick(self, now: float) -> None:
        """Take a tick of this host's own clock."""
        self._last_tick = now

    def confirm(self) -> None:
        """Another host answered a ping sent since the gap."""
        self._is_confirmed = True

    def compare(self, is_caught_up: bool) -> None:
        """Take whether this host holds what an answering host holds."""
        if self._is_confirmed and is_caught_up:
            self._waits_since = None

    def may_learn(self, now: float) -> bool:
        """Whether other hosts had time to tell what they hold."""
        return self._is_confirmed or self.is_ready(now)

    def is_ready(self, now: float) -> bool:
        """Whether this host may choose targets for new flows."""
        if self._waits_since is not None and now - self._waits_since > WAIT_SECONDS:
            self._waits_since = None
        return self._waits_since is None

    def take_changes(self, now: float) -> list[bool]:
        """Return what :meth:`is_ready` changed to since the last call, in order."""
        changes = []
        if self._stood_still:
            self._stood_still = self._was_ready = False
            changes.append(False)
        if not self._was_ready and self.is_ready(now):
            self._was_ready = True
            changes.append(True)
        return changes
