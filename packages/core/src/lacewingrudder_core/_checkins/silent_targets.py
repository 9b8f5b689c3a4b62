"""Since when the targets that a control host does not hear have been unreachable."""

from __future__ import annotations

from .types import EntryKey, LifeState, TargetEntry

MAX_SILENCE_SECONDS = 120.0
"""How long a target that no control host hears may be unreachable before it is taken for ended, if
it drains or a later one at its address checks in: twice the age at which flows may be dropped."""


class SilentTargets:
    """Targets that run, as far as is known, and are unreachable."""

    def __init__(self) -> None:
        self._since: dict[EntryKey, float] = {}

    def __len__(self) -> int:
        return len(self._since)

    def update(self, entry: TargetEntry, now: float) -> None:
        """Record a new state of a target."""
        if entry.state is LifeState.GONE or entry.has_recent_heartbeat:
            self.forget(entry.key)
        else:
            self._since.setdefault(entry.key, now)

    def forget(self, key: EntryKey) -> None:
        """Forget a target, which has checked in or ended."""
        self._since.pop(key, None)

    def pop_long_silent(self, now: float) -> list[EntryKey]:
        """Return the targets that have been unreachable for too long, and forget them."""
        due: list[EntryKey] = []
        for key, since in self._since.items():
            if now - since <= MAX_SILENCE_SECONDS:
                break
            due.append(key)
        for key in due:
            del self._since[key]
        return due
