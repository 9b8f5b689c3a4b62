"""HTTP endpoints of a process: target announcements and metrics."""

from __future__ import annotations

from typing import Any

from aiohttp import web
from lacewingrudder_core.targets import Announcement, Rejected
from lacewingrudder_core.types import Endpoint, KindPort, Target, TargetState, parse_address
from lacewingrudder_wire.documents import check_document
from lacewingrudder_wire.exceptions import DocumentError
from lacewingrudder_wire.strict_json import read_json
from prometheus_client import CollectorRegistry, generate_latest

from .entry_task import EntryTask

ANNOUNCEMENT_LIMIT_BYTES = 16 * 1024


def announcement_app(task: EntryTask) -> web.Application:
    """Return the application that accepts target announcements at ``POST /announce``.

    Responds with 200 and the lease in seconds, with 400 if the body is not a valid announcement,
    or with 403 if the announcement is rejected. Errors are JSON objects with a ``reason``.
    """

    async def announce(request: web.Request) -> web.Response:
        try:
            announcement = parse_announcement(read_json(await request.read()))
        except DocumentError as error:
            return web.json_response({"reason": str(error)}, status=400)
        except (ValueError, RecursionError) as error:
            return web.json_response({"reason": f"invalid JSON: {error}"}, status=400)
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

    :raises OSError: if the endpoint cannot be bound.
    """
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, _, port = str(endpoint).rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner


def parse_announcement(document: Any) -> Announcement:
    """Return the announcement in a parsed JSON document.

    :raises DocumentError: if the document does not match the schema; the error names the first
        invalid field.
    """
    check_document(document, "announcement", "announcement")
    ports = tuple(KindPort(kind, int(port)) for kind, port in document["ports"].items())
    address = parse_address(document["address"])
    target = Target(
        name=str(Endpoint(address, ports[0].port)),
        service=document["service"],
        zone=document["zone"],
        address=address,
        ports=ports,
        slots=int(document["slots"]),
        connection_limit=int(document["connection_limit"]),
        incarnation=int(document["incarnation"]),
    )
    state = TargetState(document["state"])
    return Announcement(
        target, state, float(document["load"]), int(document["sequence"]), document["mac"]
    )
