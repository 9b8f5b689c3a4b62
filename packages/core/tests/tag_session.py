"""Plays a session of callers, targets and entry hosts that forward by flow tag.

A session is text: a line with ``>`` is an event, the indented lines after it are what the hosts do.
Each event takes a tenth of a second, unless ``wait SECONDS`` says otherwise.

==================================  ============================================================
``start a:adum b:suame``            entry hosts that have just started, with their zones
``config VERSION SERVICE``          a configuration reaches all hosts
``config VERSION SERVICE to a``     it reaches one host
``target NAME STATE ZONE BORN``     a control host publishes a target to all hosts
``... at NUMBER for SERVICE``       its address and its service, else its number and ``proofdesk``
``syn PORT COPY via a``             a copy of a caller's SYN comes to a host
``data PORT SEQUENCE ACK via a``    a caller's data, with the tag of its flow
==================================  ============================================================
"""

from __future__ import annotations

from checkin_fakes import EDITS, configuration, data, entry, syn, update
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
    """The hosts of one session, and the tags that callers hold."""

    def __init__(self) -> None:
        self.log: list[str] = []
        self._now = 0.0
        self._hosts: dict[str, TagForwarder] = {}
        self._entries: list[TargetEntry] = []
        self._tags: dict[int, int] = {}

    def take(self, line: str) -> None:
        """Take one event and log what the hosts do."""
        self.log.append(f"> {line}")
        self._now += STEP_SECONDS
        name, *words = line.split()
        getattr(self, f"_{name}")(*words)

    def _wait(self, seconds: str) -> None:
        self._now += float(seconds)
        for host in self._hosts.values():
            host.update(update(number=len(self._entries), since=len(self._entries)), self._now)
            host.tick(self._now)

    def _start(self, *words: str) -> None:
        for word in words:
            name, _, zone = word.partition(":")
            host = self._hosts[name] = TagForwarder(zone)
            host.update(update(*self._entries, number=len(self._entries)), self._now)

    def _config(self, version: str, service: str, _to: str = "", only: str = "") -> None:
        route = Route(EDITS, (Split(service, 1),), False, 8)
        for name, host in self._hosts.items():
            if only in ("", name):
                in_force = host.configure(configuration(int(version), route))
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
            host.update(update(added, number=count, since=count - 1), self._now)

    def _syn(self, port: str, copy: str, _via: str, name: str) -> None:
        self._decided(
            int(port), name, self._hosts[name].decide(syn(int(port), int(copy)), self._now)
        )

    def _data(self, port: str, sequence: str, ack: str, _via: str, name: str) -> None:
        segment = data(int(port), self._tags.get(int(port), 0), int(sequence), int(ack))
        self._decided(int(port), name, self._hosts[name].decide(segment, self._now))

    def _decided(self, port: int, name: str, decision: Decision) -> None:
        if isinstance(decision, Forwarded):
            self._tags[port] = decision.tag
            born = next(
                e.lifetime.started_ms for e in reversed(self._entries) if self._is(e, decision)
            )
            self.log.append(f"  {name}: to target {decision.identity} born {born}")
        elif isinstance(decision, Dropped):
            self.log.append(f"  {name}: dropped, {decision.reason}")
        else:
            assert isinstance(decision, Reset)
            self.log.append(f"  {name}: reset, {decision.reason}")

    def _is(self, known: TargetEntry, decision: Forwarded) -> bool:
        return known.identity == decision.identity and known.endpoint == decision.endpoint


def play(text: str) -> TagSession:
    """Play the events of a session."""
    session = TagSession()
    for line in text.splitlines():
        if line.startswith(">"):
            session.take(line.removeprefix("> "))
        elif line.startswith("#"):
            session.log.append(line)
    return session
