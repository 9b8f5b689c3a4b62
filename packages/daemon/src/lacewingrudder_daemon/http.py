"""HTTP faces of a process: announcements of targets, and metrics."""

from __future__ import annotations

from typing import Any

from aiohttp import web
from lacewingrudder_core.targets import Announcement, Rejected
from lacewingrudder_core.types import Endpoint, KindPort, Target, TargetState, parse_address
from prometheus_client import CollectorRegistry, generate_latest

from .entry_task import EntryTask

ANNOUNCEMENT_LIMIT_BYTES = 16 * 1024


def announcement_app(task: EntryTask) -> web.Application:
    """Return the application that takes announcements by ``POST /announce``.

    It answers 200 with the lease in seconds, 400 for what is no announcement, and 403 for one that
    is not taken; errors are JSON objects with a ``reason``.
    """

    async def announce(request: web.Request) -> web.Response:
        try:
            announcement = parse_announcement(await request.json())
        except (KeyError, TypeError, ValueError) as error:
            reason = f"not an announcement: {type(error).__name__}: {error}"
            return web.json_response({"reason": reason}, status=400)
        outcome = await task.announce(announcement)
        if isinstance(outcome, Rejected):
            return web.json_response({"reason": outcome.reason}, status=403)
        return web.json_response({"lease_seconds": outcome.lease})

    app = web.Application(client_max_size=ANNOUNCEMENT_LIMIT_BYTES)
    app.router.add_post("/announce", announce)
    return app


def metrics_app(registry: CollectorRegistry) -> web.Application:
    """Return the application that serves ``GET /metrics``."""

    async def metrics(_: web.Request) -> web.Response:
        return web.Response(body=generate_latest(registry), content_type="text/plain")

    app = web.Application()
    app.router.add_get("/metrics", metrics)
    return app


async def start_app(app: web.Application, endpoint: Endpoint) -> web.AppRunner:
    """Serve an application at an endpoint.

    :raises OSError: if the endpoint can't be used.
    """
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, _, port = str(endpoint).rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner


def parse_announcement(document: dict[str, Any]) -> Announcement:
    """Return the announcement in a JSON object.

    :raises KeyError: if a field is missing.
    :raises TypeError: if the object or a field has the wrong type.
    :raises ValueError: if a field's value is out of its range.
    """
    ports = tuple(KindPort(str(kind), int(port)) for kind, port in document["ports"].items())
    if not ports or any(not 0 < entry.port < 65536 for entry in ports):
        raise ValueError("ports has to name a port from 1 to 65535 for each kind")
    address = parse_address(document["address"])
    target = Target(
        name=str(Endpoint(address, ports[0].port)),
        service=str(document["service"]),
        zone=str(document["zone"]),
        address=address,
        ports=ports,
        slots=_positive(document, "slots"),
        connection_limit=_positive(document, "connection_limit"),
        incarnation=int(document["incarnation"]),
    )
    state = TargetState(document["state"])
    return Announcement(target, state, float(document["load"]), str(document["mac"]))


def _positive(document: dict[str, Any], field: str) -> int:
    number = int(document[field])
    if number < 1:
        raise ValueError(f"{field} has to be at least 1")
    return number
