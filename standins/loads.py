"""Builds the services of release notes and the loads of callers from a firm's shape."""

from __future__ import annotations

from typing import Any

from .firms import ServiceShape


def service_entry(service: ServiceShape) -> dict[str, Any]:
    """Return a service as an entry of a release note."""
    return {
        "name": service.name,
        "address": service.address,
        "key": service.key,
        "kinds": [kind._asdict() for kind in service.kinds],
    }


def load(service: ServiceShape, kind: str, **changes: Any) -> dict[str, Any]:
    """Return the configuration of a load of one kind of work.

    :param changes: replace defaults; see :class:`.callers.LoadConfig`.
    """
    port = next(entry.port for entry in service.kinds if entry.name == kind)
    return {
        "name": kind,
        "service": service.name,
        "endpoint": f"{service.address}:{port}",
        "rate": 20.0,
        "start": 0.0,
        "duration": 5.0,
        "requests": 3,
        "pause": 0.2,
        "answer_bytes": 3000,
        "patience": 5.0,
    } | changes
