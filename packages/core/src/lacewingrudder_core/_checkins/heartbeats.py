"""When the heartbeats of targets arrived at one control host."""

from __future__ import annotations

from .types import EntryKey


class Heartbeats:
    """Arrival times of the last heartbeats, the oldest first.

    :param expiry_seconds: time after its last heartbeat from which a target counts as unreachable.
    """

    def __init__(self, expiry_seconds: float) -> None:
        self._expiry_seconds = expiry_seconds
        self._received_at: dict[EntryKey, float] = {}

    def __contains__(self, key: EntryKey) -> bool:
        return key in self._received_at

    @property
    def expiry_seconds(self) -> float:
        """Time after its last heartbeat from which a target counts as unreachable."""
        return self._expiry_seconds

    def received_at(self, key: EntryKey) -> float | None:
        """Return the time of a target's last heartbeat, or ``None`` if it is unreachable."""
        return self._received_at.get(key)

    def record(self, key: EntryKey, now: float) -> None:
        """Record a heartbeat."""
        self._received_at.pop(key, None)
        self._received_at[key] = now

    def remove(self, key: EntryKey) -> None:
        """Count a target as unreachable until its next heartbeat."""
        self._received_at.pop(key, None)

    def pop_overdue(self, now: float) -> list[EntryKey]:
        """Remove and return the targets that are unreachable from now on, the oldest first."""
        overdue: list[EntryKey] = []
        while self._received_at:
            key, received_at = next(iter(self._received_at.items()))
            if now - received_at <= self._expiry_seconds:
                break
            del self._received_at[key]
            overdue.append(key)
        return overdue
