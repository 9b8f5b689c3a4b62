"""Validation rules of a release note that involve more than one field."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from ..types import Endpoint, Service

SHARE_SUM_TOLERANCE = 1e-9


class NoteProblem(NamedTuple):
    """A validation error in a note.

    :param field: path of the field, such as ``added[0].kinds[1].port``.
    :param reason: text for the operator.
    """

    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.field}: {self.reason}"


class NoteParts(NamedTuple):
    """The services that a note adds, changes and withdraws."""

    added: tuple[Service, ...]
    changed: tuple[Service, ...]
    withdrawn: tuple[str, ...]


def parts_problem(parts: NoteParts) -> NoteProblem | None:
    """Return the first error in a note that doesn't depend on the catalogue, or ``None``."""
    if not (parts.added or parts.changed or parts.withdrawn):
        return NoteProblem("(document)", "the note adds, changes and withdraws nothing")
    return next(_parts_problems(parts), None)


def catalogue_problem(parts: NoteParts, services: Mapping[str, Service]) -> NoteProblem | None:
    """Return the first conflict of a note with the services in force, or ``None``."""
    return next(_catalogue_problems(parts, services), None)


def _parts_problems(parts: NoteParts) -> Iterator[NoteProblem]:
    seen: set[str] = set()
    for field, name in _named_services(parts):
        if name in seen:
            yield NoteProblem(field, f"service {name} is named more than once")
        seen.add(name)
    for field, service in _definitions(parts):
        yield from _service_problems(field, service)
    yield from _endpoint_conflicts(_definitions(parts), {})


def _catalogue_problems(parts: NoteParts, services: Mapping[str, Service]) -> Iterator[NoteProblem]:
    for index, service in enumerate(parts.added):
        if service.name in services:
            yield NoteProblem(f"added[{index}].name", f"service {service.name} already exists")
    for index, service in enumerate(parts.changed):
        if service.name not in services:
            yield NoteProblem(f"changed[{index}].name", f"there is no service {service.name}")
    for index, name in enumerate(parts.withdrawn):
        if name not in services:
            yield NoteProblem(f"withdrawn[{index}]", f"there is no service {name}")
    replaced = {name for _, name in _named_services(parts)}
    addresses = {service.address for _, service in _definitions(parts)}
    taken = {
        Endpoint(service.address, kind.port): service.name
        for service in services.values()
        if service.address in addresses and service.name not in replaced
        for kind in service.kinds
    }
    yield from _endpoint_conflicts(_definitions(parts), taken)


def _named_services(parts: NoteParts) -> Iterator[tuple[str, str]]:
    for field, service in _definitions(parts):
        yield f"{field}.name", service.name
    for index, name in enumerate(parts.withdrawn):
        yield f"withdrawn[{index}]", name


def _definitions(parts: NoteParts) -> Iterator[tuple[str, Service]]:
    for index, service in enumerate(parts.added):
        yield f"added[{index}]", service
    for index, service in enumerate(parts.changed):
        yield f"changed[{index}]", service


def _service_problems(field: str, service: Service) -> Iterator[NoteProblem]:
    names: set[str] = set()
    for index, kind in enumerate(service.kinds):
        if kind.name in names:
            yield NoteProblem(f"{field}.kinds[{index}].name", f"kind {kind.name} is defined twice")
        names.add(kind.name)
    total = sum(kind.share for kind in service.kinds)
    if total > 1 + SHARE_SUM_TOLERANCE:
        yield NoteProblem(f"{field}.kinds", f"the shares add up to {total:g}, which is more than 1")


def _endpoint_conflicts(
    described: Iterable[tuple[str, Service]], taken: Mapping[Endpoint, str]
) -> Iterator[NoteProblem]:
    owners = dict(taken)
    for field, service in described:
        for index, kind in enumerate(service.kinds):
            endpoint = Endpoint(service.address, kind.port)
            if endpoint in owners:
                reason = f"{endpoint} belongs to service {owners[endpoint]}"
                yield NoteProblem(f"{field}.kinds[{index}].port", reason)
            owners[endpoint] = service.name
