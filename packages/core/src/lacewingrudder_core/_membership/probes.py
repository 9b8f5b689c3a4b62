"""Pings that wait for their answers."""

from __future__ import annotations

from typing import NamedTuple

from ..types import HostName

DIRECT_SECONDS = 0.25
INDIRECT_SECONDS = 0.5


class Probe(NamedTuple):
    """A ping under way.

    :param started: when it was sent, in seconds.
    :param asked_by: the host that asked for it, empty if it is this host's own.
    :param asked_sequence: the sequence number under which that host waits.
    :param is_contact: whether it went to a host that is not a member.
    """

    subject: HostName
    started: float
    asked_by: HostName = ""
    asked_sequence: int = 0
    is_contact: bool = False

    @property
    def is_own(self) -> bool:
        """Whether a missing answer makes this host suspect the subject."""
        return not self.asked_by and not self.is_contact


class Probes:
    """Keeps the pings under way by their sequence numbers."""

    def __init__(self) -> None:
        self._waiting: dict[int, Probe] = {}
        self._indirect: set[int] = set()
        self._last_sequence = 0

    def start(self, probe: Probe) -> int:
        """Keep a probe and return its sequence number."""
        self._last_sequence += 1
        self._waiting[self._last_sequence] = probe
        return self._last_sequence

    def finish(self, sequence: int) -> Probe | None:
        """Take out an answered probe; ``None`` if nothing waits under that number."""
        self._indirect.discard(sequence)
        return self._waiting.pop(sequence, None)

    def is_probing(self, subject: HostName) -> bool:
        """Whether a probe of this host's own is under way."""
        return any(p.subject == subject and p.is_own for p in self._waiting.values())

    def take_unanswered(self, now: float) -> list[tuple[int, Probe]]:
        """Return own probes that are late since the last call."""
        late = [
            (sequence, probe)
            for sequence, probe in self._waiting.items()
            if probe.is_own
            and sequence not in self._indirect
            and now - probe.started >= DIRECT_SECONDS
        ]
        self._indirect.update(sequence for sequence, _ in late)
        return late

    def take_failed(self, now: float) -> list[Probe]:
        """Take out probes whose time is over and return this host's own among them."""
        over = [n for n, probe in self._waiting.items() if now - probe.started >= INDIRECT_SECONDS]
        probes = [self._waiting.pop(sequence) for sequence in over]
        self._indirect.difference_update(over)
        return [probe for probe in probes if probe.is_own]

    def postpone(self, seconds: float) -> None:
        """Give all probes more time for their answers."""
        for sequence, probe in self._waiting.items():
            self._waiting[sequence] = probe._replace(started=probe.started + seconds)

    def clear(self) -> None:
        """Forget all probes; answers to them count no more."""
        self._waiting.clear()
        self._indirect.clear()
