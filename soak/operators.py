"""Operators of a soak: configurations in quick succession, invalid ones, and reads."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from standins.platform import ManifestRoute, manifest
from standins.wire import Address

from .callers import SERVICE
from .http import Answer, Caller
from .promises import Promise

PATH = "/lacewingrudder/config"
BASE_PORTS = {8080: "a", 8443: "b"}
MARKER_PORT = 20_000
MARKERS_KEPT = 12
"""How many later configurations keep the route that one adds."""

PUT_SECONDS = 30.0
PUT_AGAIN_SECONDS = 0.1


class Stored(NamedTuple):
    """A configuration that was sent.

    :param markers: ports of the routes that only some versions have.
    """

    document: Any
    markers: frozenset[int]


class Operators:
    """Sends configurations and remembers what was acknowledged when."""

    def __init__(
        self,
        caller: Caller,
        controls: list[Address],
        check: Callable[[Promise, bool, str], bool],
        now: Callable[[], float],
        seed: int,
    ) -> None:
        self._caller = caller
        self._controls = controls
        self._check = check
        self._now = now
        self._random = random.Random(seed)
        self._versions = itertools.count(1)
        self._sent: dict[int, Stored] = {}
        self.acknowledged: dict[int, float] = {}

    def services(self, port: int) -> frozenset[str]:
        """Return the services that any configuration sent allows for a port."""
        return frozenset({BASE_PORTS.get(port, "a")})

    def is_kept(self, version: int) -> bool:
        """Return whether every configuration from a version on has that version's marker."""
        port = MARKER_PORT + version
        return all(port in row.markers for sent, row in self._sent.items() if sent >= version)

    def is_dropped(self, marker: int, version: int) -> bool:
        """Return whether no configuration from a version on has another version's marker."""
        port = MARKER_PORT + marker
        return not any(port in row.markers for sent, row in self._sent.items() if sent >= version)

    async def submit(self) -> bool:
        """Send a new configuration until it is acknowledged; return whether it was."""
        version = next(self._versions)
        document = self._make(version)
        end = self._now() + PUT_SECONDS
        while self._now() < end:
            answer = await self._call("PUT", document)
            self._judge_valid(answer, version)
            if answer.status == 200:
                self.acknowledged.setdefault(version, self._now())
                return True
            await asyncio.sleep(PUT_AGAIN_SECONDS)
        return False

    async def resend(self) -> None:
        """Send an acknowledged configuration again."""
        version = self._random.choice(list(self.acknowledged))
        answer = await self._call("PUT", self._sent[version].document)
        self._judge_valid(answer, version)

    async def spoil(self) -> None:
        """Send an invalid configuration with a high version."""
        document = self._make(next(self._versions), is_valid=False)
        answer = await self._call("PUT", document)
        detail = f"invalid configuration got {answer.status}"
        self._check(Promise.VALID, answer.status in (0, 400), detail)

    async def read(self) -> bool:
        """Read the newest configuration at any host; return whether there was an answer."""
        least = max(self.acknowledged, default=0)
        answer = await self._call("GET")
        if answer.status == 404:
            return self._check(Promise.DURABLE, not least, "no configuration is known")
        if answer.status != 200:
            return False
        document = json.loads(answer.body)
        version = document["version"]
        stored = self._sent.get(version)
        self._check(Promise.DURABLE, version >= least, f"read {version}, acknowledged {least}")
        self._check(
            Promise.EXACT,
            stored is not None and stored.document == document,
            f"version {version} was read otherwise than it was sent",
        )
        return True

    async def run(self, gap_seconds: float) -> None:
        """Send and read at random until cancelled."""
        while True:
            kinds = (self.submit, self.submit, self.read, self.read, self.resend, self.spoil)
            await self._random.choice(kinds)()
            await asyncio.sleep(self._random.expovariate(1 / gap_seconds))

    def _make(self, version: int, is_valid: bool = True) -> Any:
        kept = [*sorted(self._sent), version][-MARKERS_KEPT - 1 :]
        markers = frozenset(MARKER_PORT + each for each in kept)
        routes = [ManifestRoute(SERVICE, port, name) for port, name in BASE_PORTS.items()]
        routes += [ManifestRoute(SERVICE, port, "a") for port in sorted(markers)]
        document = manifest(version, routes, set(BASE_PORTS.values()) if is_valid else {"a"})
        document["services"].sort(key=lambda row: row["name"])
        if is_valid:
            self._sent[version] = Stored(document, markers)
        return document

    def _judge_valid(self, answer: Answer, version: int) -> None:
        refused = 400 <= answer.status < 500
        self._check(Promise.VALID, not refused, f"version {version} got {answer.status}")

    async def _call(self, method: str, body: Any = None) -> Answer:
        return await self._caller.call(self._random.choice(self._controls), method, PATH, body)
