"""Operators of a soak: they submit configurations in quick succession, some invalid, and read them.

Each configuration adds a marker, which is a route with a port of its own. Probes use the markers to
find out which configuration is in force on a host.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from standins.platform import ManifestRoute, manifest
from standins.wire import Address

from .callers import SERVICE_ADDRESS
from .guarantees import Guarantee
from .http_client import HttpClient, Response
from .warmups import COLD_SECONDS

CONFIGURATION_PATH = "/lacewingrudder/config"
BASE_ROUTES = {8080: "a", 8443: "b"}
FIRST_MARKER_PORT = 20_000
MARKER_RETENTION_COUNT = 12
"""Number of later configurations that keep the marker added by a configuration."""

SUBMIT_TIMEOUT_SECONDS = 30.0
SUBMIT_RETRY_INTERVAL_SECONDS = 0.1


class SentConfiguration(NamedTuple):
    """A valid configuration, recorded before it is submitted.

    :param markers: ports of the marker routes that it contains.
    """

    document: Any
    markers: frozenset[int]


class Operators:
    """Submits configurations and records when each version was acknowledged."""

    def __init__(
        self,
        http_client: HttpClient,
        controls: list[Address],
        check: Callable[[Guarantee, bool, str], bool],
        now: Callable[[], float],
        seed: int,
    ) -> None:
        self._http_client = http_client
        self._controls = controls
        self._check = check
        self._now = now
        self._random = random.Random(seed)
        self._versions = itertools.count(1)
        self._sent: dict[int, SentConfiguration] = {}
        self.acknowledged: dict[int, float] = {}

    def allowed_services(self, port: int) -> frozenset[str]:
        """Return the services that a sent configuration may route a port to."""
        return frozenset({BASE_ROUTES.get(port, "a")})

    def is_marker_in_all_since(self, version: int) -> bool:
        """Return whether every configuration sent from a version on contains its marker."""
        port = FIRST_MARKER_PORT + version
        return all(
            port in configuration.markers
            for sent, configuration in self._sent.items()
            if sent >= version
        )

    def is_marker_absent_since(self, marker_version: int, since_version: int) -> bool:
        """Return whether no configuration sent from ``since_version`` on has the marker.

        :param marker_version: the version whose configuration added the marker.
        """
        port = FIRST_MARKER_PORT + marker_version
        return not any(
            port in configuration.markers
            for sent, configuration in self._sent.items()
            if sent >= since_version
        )

    async def submit(self) -> bool:
        """Submit a new configuration, retrying until it is acknowledged or a timeout expires.

        Return whether it was acknowledged.
        """
        version = next(self._versions)
        document = self._make_configuration(version)
        deadline = self._now() + SUBMIT_TIMEOUT_SECONDS
        while self._now() < deadline:
            response = await self._request("PUT", document)
            self._check_not_refused(response, version)
            if response.status == 200:
                self.acknowledged.setdefault(version, self._now())
                return True
            await asyncio.sleep(SUBMIT_RETRY_INTERVAL_SECONDS)
        return False

    async def resend(self) -> None:
        """Submit an acknowledged configuration again."""
        version = self._random.choice(list(self.acknowledged))
        response = await self._request("PUT", self._sent[version].document)
        self._check_not_refused(response, version)

    async def submit_invalid(self) -> None:
        """Submit an invalid configuration with a new version."""
        document = self._make_configuration(next(self._versions), is_valid=False)
        response = await self._request("PUT", document)
        detail = f"invalid configuration got status {response.status}, expected 400"
        self._check(Guarantee.VALIDATION, response.status in (0, 400), detail)

    async def read(self) -> bool:
        """Read the configuration from a random control host and check it.

        Return whether it could be read, or is missing because none was acknowledged yet.
        """
        min_version = max(self.acknowledged, default=0)
        response = await self._request("GET")
        if response.status == 404:
            return self._check(
                Guarantee.DURABLE,
                not min_version,
                "status 404 although a configuration was acknowledged",
            )
        if response.status != 200:
            return False
        document = json.loads(response.body)
        version = document["version"]
        sent = self._sent.get(version)
        self._check(
            Guarantee.DURABLE,
            version >= min_version,
            f"read version {version}, expected at least the acknowledged version {min_version}",
        )
        self._check(
            Guarantee.READ_AS_SENT,
            sent is not None and sent.document == document,
            f"version {version} read back differs from the one sent",
        )
        return True

    async def run(self, gap_seconds: float) -> None:
        """Submit and read at random until cancelled.

        :param gap_seconds: mean time between two operations.
        """
        while True:
            actions = (
                self.submit,
                self.submit,
                self.read,
                self.read,
                self.resend,
                self.submit_invalid,
            )
            await self._random.choice(actions)()
            await asyncio.sleep(self._random.expovariate(1 / gap_seconds))

    def _make_configuration(self, version: int, is_valid: bool = True) -> Any:
        kept = [*sorted(self._sent), version][-MARKER_RETENTION_COUNT - 1 :]
        markers = frozenset(FIRST_MARKER_PORT + each for each in kept)
        routes = [ManifestRoute(SERVICE_ADDRESS, port, name) for port, name in BASE_ROUTES.items()]
        routes += [ManifestRoute(SERVICE_ADDRESS, port, "a") for port in sorted(markers)]
        document = manifest(version, routes, set(BASE_ROUTES.values()) if is_valid else {"a"})
        document["services"].sort(key=lambda service: service["name"])
        for service in document["services"]:
            service |= {"cold-start-s": COLD_SECONDS, "cold-per-s": 0.0}
        if is_valid:
            self._sent[version] = SentConfiguration(document, markers)
        return document

    def _check_not_refused(self, response: Response, version: int) -> None:
        is_refused = 400 <= response.status < 500
        self._check(
            Guarantee.VALIDATION,
            not is_refused,
            f"valid version {version} got status {response.status}, expected no 4xx",
        )

    async def _request(self, method: str, body: Any = None) -> Response:
        return await self._http_client.request(
            self._random.choice(self._controls), method, CONFIGURATION_PATH, body
        )
