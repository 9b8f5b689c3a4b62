"""Decides whether an entry host's state is current enough to choose targets for new flows.

A host that has just started, or that was paused (its ticks are too far apart), has stale state. It
serves its open flows, but opens no new ones until another host has answered a new ping and their
states agree. If no host answers, because there is none or the network is partitioned, it serves
with the state it has after a bounded wait.

A host that has just started also waits for a control host's answer, for as long at most: where all
entry hosts start together, their states agree but may all lack the latest orders.
"""

from __future__ import annotations

# If the last tick was longer ago, this process was paused.
MAX_TICK_GAP_SECONDS = 1.5
MAX_WAIT_SECONDS = 3.0


class Readiness:
    """Detects starts and pauses of this host, and decides when its state is current again.

    :param has_controls: whether there are control hosts to wait for after the start.
    """

    def __init__(self, has_controls: bool = False) -> None:
        self._last_tick: float | None = None
        self._waiting_since: float | None = None
        self._has_controls = has_controls
        self._awaiting_control_since: float | None = None
        self._has_answer = False
        self._was_paused = False
        self._was_ready = False

    def reset_after_gap(self, now: float, is_alone: bool) -> bool:
        """After a gap between ticks, treat this host's state as stale until a host answers.

        Must be called before any other decision.

        :param is_alone: whether no other host is known, so that there is nothing to wait for.
        :return: whether this host has just started or was paused.
        """
        last = self._last_tick
        if last is not None and now - last <= MAX_TICK_GAP_SECONDS:
            return False
        if last is None and self._has_controls:
            self._awaiting_control_since = now
        self._last_tick = now
        self._has_answer = False
        self._was_paused = True
        self._waiting_since = None if is_alone else now
        return True

    def record_tick(self, now: float) -> None:
        """Record a tick of this host's clock."""
        self._last_tick = now

    def record_answer(self) -> None:
        """Record that another host answered a ping that was sent since the gap."""
        self._has_answer = True

    def record_comparison(self, is_caught_up: bool) -> None:
        """Record whether the state of this host matches that of a host that answered."""
        if self._has_answer and is_caught_up:
            self._waiting_since = None

    def record_control_answer(self, is_caught_up: bool) -> None:
        """Record whether this host's catalogue is that of a control host that answered."""
        if is_caught_up:
            self._awaiting_control_since = None

    def may_adopt_catalogue(self, now: float) -> bool:
        """Return whether peers had time to report, so that a first catalogue may be adopted."""
        return self._has_answer or not _is_pending(self._waiting_since, now)

    def is_ready(self, now: float) -> bool:
        """Return whether this host may choose targets for new flows."""
        if not _is_pending(self._waiting_since, now):
            self._waiting_since = None
        if not _is_pending(self._awaiting_control_since, now):
            self._awaiting_control_since = None
        return self._waiting_since is None and self._awaiting_control_since is None

    def pop_changes(self, now: float) -> list[bool]:
        """Return the values that :meth:`is_ready` changed to since the last call, in order."""
        changes = []
        if self._was_paused:
            self._was_paused = self._was_ready = False
            changes.append(False)
        if not self._was_ready and self.is_ready(now):
            self._was_ready = True
            changes.append(True)
        return changes


def _is_pending(since: float | None, now: float) -> bool:
    return since is not None and now - since <= MAX_WAIT_SECONDS
