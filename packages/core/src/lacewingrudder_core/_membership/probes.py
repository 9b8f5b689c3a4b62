"""Pings that wait for an ack."""

from __future__ import annotations

from typing import NamedTuple

from ..types import HostName

DIRECT_SECONDS = 0.25
INDIRECT_SECONDS = 0.5


class Probe(NamedTuple):
    """A ping that has not been answered yet.

    :param subject: the host that was pinged.
    :param started: time at which it was sent, in seconds.
    :param asked_by: the host that requested an indirect probe, empty for a probe of this host.
    :param asked_sequence: the sequence number of that host's request.
    :param is_contact: whether the subject was not a member.
    """

    subject: HostName
    started: float
    asked_by: HostName = ""
    asked_sequence: int = 0
    is_contact: bool = False

    @property
    def is_own(self) -> bool:
        """Whether this host suspects the subject if no ack arrives."""
        return not self.asked_by and not self.is_contact


class Probes:
    """Tracks pending probes by sequence number."""

    def __init__(self) -> None:
        self._waiting: dict[int, Probe] = {}
        self._indirect: set[int] = set()
        self._last_sequence = 0

    def start(self, probe: Probe) -> int:
        """Add a probe and return its sequence number."""
        self._last_sequence += 1
        self._waiting[self._last_sequence] = probe
        return self._last_sequence

    def finish(self, sequence: int) -> Probe | None:
        """Remove and return the probe that was answered, or ``None`` if it is not pending."""
        self._indirect.discard(sequence)
        return self._waiting.pop(sequence, None)

    def is_probing(self, subject: HostName) -> bool:
        """Whether this host itself has a pending probe of a member."""
        return any(p.subject == subject and p.is_own for p in self._waiting.values())

    def take_unanswered(self, now: float) -> list[tuple[int, Probe]]:
        """Return this host's probes that missed the direct deadline since the last call.

        They stay pending: an ack of an indirect probe may still arrive.
        """
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
        """Remove the probes that missed the final deadline and return this host's own of them."""
        over = [n for n, probe in self._waiting.items() if now - probe.started >= INDIRECT_SECONDS]
        probes = [self._waiting.pop(sequence) for sequence in over]
        self._indirect.difference_update(over)
        return [probe for probe in probes if probe.is_own]

    def postpone(self, seconds: float) -> None:
        """Extend the deadlines of all pending probes."""
        for sequence, probe in self._waiting.items():
            self._waiting[sequence] = probe._replace(started=probe.started + seconds)

    def clear(self) -> None:
        """Discard all pending probes; later acks to them are ignored."""
        self._waiting.clear()
        self._indirect.clear()
