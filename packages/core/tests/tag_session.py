"""Plays sessions of callers, targets and entry hosts that forward by flow tag.

In the text of a session, a line with ``>`` is an event and the indented lines after it are the
actions of the hosts. Each event takes a tenth of a second; ``wait SECONDS`` adds to that
and runs the timers of the hosts.

==================================  ============================================================
``start a:adum b:suame``            entry hosts start, each in its zone
``config VERSION SERVICE``          a configuration reaches all hosts
``config VERSION SERVICE to a``     a configuration reaches one host
``target NAME STATE ZONE BORN``     a control host publishes a target to all hosts
``... at NUMBER for SERVICE``       sets its address and service; NAME and ``proofdesk`` otherwise
``syn PORT ATTEMPT via a``          a caller's SYN arrives at a host; ATTEMPT > 0: retransmission
``data PORT SEQUENCE ACK via a``    a caller's data arrives, with the tag of its flow
==================================  ============================================================
"""

from __future__ import annotations

from checkin_fakes import EDITS, SHEETS, configuration, data, entry, syn, update
from lacewingrudder_core.checkins import LifeState, TargetEntry
from lacewingrudder_core.tagging import (
    Decision,
    Dropped,
    Forwarded,
    Reset,
    Route,
    Split,
    TagForwarder,
)

STEP_SECONDS = 0.1


class TagSession:
    """The hosts of one session, and the tags that its callers echo."""

    def __init__(self) -> None:
        self.log: list[str] = []
        self._now = 0.0
        self._hosts: dict[str, TagForwarder] = {}
        self._entries: list[TargetEntry] = []
        self._tags: dict[int, int] = {}

    def play_event(self, line: str) -> None:
        """Play one event and log the actions of the hosts."""
        self.log.append(f"> {line}")
        self._now += STEP_SECONDS
        name, *words = line.split()
        getattr(self, f"_{name}")(*words)

    def _wait(self, seconds: str) -> None:
        self._now += float(seconds)
        for host in self._hosts.values():
            host.apply_update(
                update(number=len(self._entries), since=len(self._entries)), self._now
            )
            host.tick(self._now)

    def _start(self, *words: str) -> None:
        for word in words:
            name, _, zone = word.partition(":")
            host = self._hosts[name] = TagForwarder(zone)
            host.apply_update(update(*self._entries, number=len(self._entries)), self._now)

    def _config(self, version: str, service: str, _to: str = "", only: str = "") -> None:
        route = Route(EDITS, (Split(service, 1),), False, 8)
        sheets = Route(SHEETS, (Split("sheetroom", 1),), True, 7)
        for name, host in self._hosts.items():
            if only in ("", name):
                in_force = host.configure(configuration(int(version), route, sheets))
                self.log.append(f"  {name}: {'in force' if in_force else 'older, ignored'}")

    def _target(self, number: str, state: str, zone: str, born: str, *where: str) -> None:
        options = dict(zip(where[::2], where[1::2], strict=True))
        added = entry(
            int(number),
            LifeState[state.upper()],
            int(born),
            zone,
            options.get("for", "proofdesk"),
            len(self._entries) + 1,
            address=int(options.get("at", number)),
        )
        self._entries.append(added)
        count = len(self._entries)
        for host in self._hosts.values():
            host.apply_update(update(added, number=count, since=count - 1), self._now)

    def _syn(self, port: str, attempt: str, _via: str, name: str) -> None:
        self._log_decision(
            int(port), name, self._hosts[name].decide(syn(int(port), int(attempt)), self._now)
        )

    def _data(self, port: str, sequence: str, ack: str, _via: str, name: str) -> None:
        segment = data(int(port), self._tags.get(int(port), 0), int(sequence), int(ack))
        self._log_decision(int(port), name, self._hosts[name].decide(segment, self._now))

    def _log_decision(self, port: int, name: str, decision: Decision) -> None:
        if isinstance(decision, Forwarded):
            self._tags[port] = decision.tag
            born = next(
                e.lifetime.started_ms for e in reversed(self._entries) if self._matches(e, decision)
            )
            self.log.append(f"  {name}: to target {decision.identity} born {born}")
        elif isinstance(decision, Dropped):
            self.log.append(f"  {name}: dropped, {decision.reason}")
        else:
            assert isinstance(decision, Reset)
            self.log.append(f"  {name}: reset, {decision.reason}")

    def _matches(self, known: TargetEntry, decision: Forwarded) -> bool:
        return known.identity == decision.identity and known.endpoint == decision.endpoint


def play(text: str) -> TagSession:
    """Play the events of a session and return it with its log."""
    session = TagSession()
    for line in text.splitlines():
        if line.startswith(">"):
            session.play_event(line.removeprefix("> "))
        elif line.startswith("#"):
            session.log.append(line)
    return session
