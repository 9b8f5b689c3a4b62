"""A target's lease on an entry host, with the timers of its slow start and its smoothed load."""

from __future__ import annotations

from ..types import FULL_WEIGHT
from .announcements import Announcement

LEASE_SECONDS = 3.0
MAX_REGULAR_RENEWAL_GAP_SECONDS = LEASE_SECONDS / 2

DRAINED_WEIGHT = 0
WARMING_WEIGHTS = (2, 4, FULL_WEIGHT)
WARMING_STEP_SECONDS = 4.0

INITIAL_HOLD_DOWN_SECONDS = 1.0
MAX_HOLD_DOWN_SECONDS = 60.0
FLAP_RESET_SECONDS = 60.0  # after the end of the slow start

LOAD_LEVELS = (0.0, 0.5, 0.75, 1.0)
MIN_LOAD_CHANGE_INTERVAL_SECONDS = 60.0
LOAD_SMOOTHING_FACTOR = 0.2
_LOAD_MARGIN = 0.1


class Lease:
    """The state of a target that announces to this host.

    :param flaps: how often the target returned after a loss, or restarted, since it was last
        stable; each further flap doubles the hold-down before the target gets flows again.
    """

    def __init__(self, announcement: Announcement, flaps: int, now: float) -> None:
        self.announced_state = announcement.state
        self.renewed_at = now
        self.is_renewed_regularly = False
        self.is_suspended = False
        self._load = announcement.load
        self._load_changed_at = now
        self._stepped_at = now
        self._hold_down_until = now + hold_down_seconds(flaps)

    def renew(self, announcement: Announcement, now: float) -> None:
        """Apply a further announcement."""
        self.is_renewed_regularly = now - self.renewed_at <= MAX_REGULAR_RENEWAL_GAP_SECONDS
        self.announced_state = announcement.state
        self.renewed_at = now
        self.is_suspended = False
        self._load += LOAD_SMOOTHING_FACTOR * (announcement.load - self._load)

    def has_expired(self, now: float) -> bool:
        """Return whether the target did not renew its lease in time."""
        return now - self.renewed_at > LEASE_SECONDS

    def is_hold_down_over(self, now: float) -> bool:
        """Return whether the hold-down of a returned target is over, so that it may get flows."""
        return now >= self._hold_down_until

    def restart_step_timer(self, now: float) -> None:
        """Restart the timer of the current state or step of the slow start."""
        self._stepped_at = now

    def is_step_over(self, now: float) -> bool:
        """Return whether the next step of the slow start is due."""
        return now - self._stepped_at >= WARMING_STEP_SECONDS

    def is_stable(self, now: float) -> bool:
        """Return whether the slow start ended long enough ago for the flaps to be reset."""
        return now - self._stepped_at >= FLAP_RESET_SECONDS

    def load_level(self, known: float, now: float) -> float:
        """Return the load level for the record, and restart its timer if the level changes.

        The level changes at most once in :data:`MIN_LOAD_CHANGE_INTERVAL_SECONDS`, and only if the
        smoothed load differs from it by a margin.

        :param known: the level in the target's current record.
        """
        if (
            now - self._load_changed_at < MIN_LOAD_CHANGE_INTERVAL_SECONDS
            or abs(self._load - known) < _LOAD_MARGIN
        ):
            return known
        level = min(LOAD_LEVELS, key=lambda level: abs(level - self._load))
        if level != known:
            self._load_changed_at = now
        return level

    def shift(self, seconds: float) -> None:
        """Shift all timers by an interval in which this process was paused.

        The lease then does not expire early. It is suspended until the target renews it, because
        it does not show that the target is alive.
        """
        self.is_suspended = True
        self.renewed_at += seconds
        self._load_changed_at += seconds
        self._stepped_at += seconds
        self._hold_down_until += seconds


def hold_down_seconds(flaps: int) -> float:
    """Return how many seconds a target that returned or restarted waits before it gets flows."""
    if flaps < 1:
        return 0.0
    return min(MAX_HOLD_DOWN_SECONDS, INITIAL_HOLD_DOWN_SECONDS * 2.0 ** min(flaps - 1, 16))


def next_weight(weight: int) -> int:
    """Return the weight at the next step of a slow start."""
    return next((step for step in WARMING_WEIGHTS if step > weight), FULL_WEIGHT)
