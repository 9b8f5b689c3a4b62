"""The placement tables of the current routing view and of the last few before it."""

from __future__ import annotations

from .._routing.maglev import PlacementTable
from .._routing.view import RoutingView
from ..hashing import flow_hash
from ..types import Endpoint, FlowKey, TargetName

MAX_GENERATIONS = 4


class TableGenerations:
    """The last few placement tables of each service endpoint, newest first."""

    def __init__(self) -> None:
        self._tables: dict[Endpoint, tuple[PlacementTable, ...]] = {}

    def update(self, view: RoutingView) -> bool:
        """Add the tables of a new view; return whether any of them changed."""
        is_changed = False
        for service_endpoint, route in view.routes.items():
            known = self._tables.get(service_endpoint, ())
            if known and known[0].entries == route.table.entries:
                continue
            is_changed = True
            self._tables[service_endpoint] = (route.table, *known)[:MAX_GENERATIONS]
        return is_changed

    def newest_choice(self, key: FlowKey) -> TargetName | None:
        """Return the target that the newest table gives a flow, or ``None``."""
        choices = self.choices(key)
        return choices[0] if choices else None

    def choices(self, key: FlowKey) -> list[TargetName | None]:
        """Return the target that each table gives a flow, the newest table first."""
        digest = flow_hash(key)
        tables = self._tables.get(Endpoint(key.service, key.service_port), ())
        return [table.choose(digest) for table in tables]
