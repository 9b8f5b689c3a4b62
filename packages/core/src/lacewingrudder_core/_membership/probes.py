"""Pings that wait for an ack."""

from __future__ import annotations

from typing import NamedTuple

from ..types import HostName

DIRECT_TIMEOUT_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 0.5


class Probe(NamedTuple):
    """A ping that has not been answered yet.

    :param subject: the host that was pinged.
    :param sent_at: time at which it was sent, in seconds.
    :param requester: the host that requested an indirect probe, empty for this host's own probes.
    :param requester_sequence: the sequence number of that host's request.
    :param is_contact: whether the subject was not a member.
    """

    subject: HostName
    sent_at: float
    requester: HostName = ""
    requester_sequence: int = 0
    is_contact: bool = False

    @property
    def is_own(self) -> bool:
        """Whether this host suspects the subject if no ack arrives.

        It does not if it sent the probe for another host, or to a host that is not a member.
        """
        return not self.requester and not self.is_contact


class Probes:
    """Tracks pending probes by sequence number."""

    def __init__(self) -> None:
        self._pending: dict[int, Probe] = {}
        self._late: set[int] = set()
        self._last_sequence = 0

    def start(self, probe: Probe) -> int:
        """Add a probe and return its sequence number."""
        self._last_sequence += 1
        self._pending[self._last_sequence] = probe
        return self._last_sequence

    def finish(self, sequence: int) -> Probe | None:
        """Remove and return the probe that was answered, or ``None`` if it is not pending."""
        self._late.discard(sequence)
        return self._pending.pop(sequence, None)

    def is_probing(self, subject: HostName) -> bool:
        """Return whether a probe is pending after which this host may suspect the subject."""
        return any(probe.subject == subject and probe.is_own for probe in self._pending.values())

    def mark_late(self, now: float) -> list[tuple[int, Probe]]:
        """Mark this host's own probes that missed the direct deadline; return the newly marked.

        The probes stay pending: an ack of an indirect probe may still arrive.
        """
        late = [
            (sequence, probe)
            for sequence, probe in self._pending.items()
            if probe.is_own
            and sequence not in self._late
            and now - probe.sent_at >= DIRECT_TIMEOUT_SECONDS
        ]
        self._late.update(sequence for sequence, _ in late)
        return late

    def pop_timed_out(self, now: float) -> list[Probe]:
        """Remove all probes that missed the final deadline; return this host's own ones."""
        timed_out = [
            sequence
            for sequence, probe in self._pending.items()
            if now - probe.sent_at >= PROBE_TIMEOUT_SECONDS
        ]
        probes = [self._pending.pop(sequence) for sequence in timed_out]
        self._late.difference_update(timed_out)
        return [probe for probe in probes if probe.is_own]

    def postpone(self, seconds: float) -> None:
        """Extend the deadlines of all pending probes."""
        for sequence, probe in self._pending.items():
            self._pending[sequence] = probe._replace(sent_at=probe.sent_at + seconds)

    def clear(self) -> None:
        """Discard all pending probes; later acks to them are ignored."""
        self._pending.clear()
        self._late.clear()
