"""The placement tables of the current view and of a few before it."""

from __future__ import annotations

from .._routing.maglev import PlacementTable
from .._routing.view import RoutingView
from ..hashing import flow_hash
from ..types import Endpoint, FlowKey, TargetName

GENERATIONS_KEPT = 4


class TableGenerations:
    """Remembers which tables gave a service's flows their targets, the newest first."""

    def __init__(self) -> None:
        self._tables: dict[Endpoint, tuple[PlacementTable, ...]] = {}

    def update(self, view: RoutingView) -> bool:
        """Take a new view and return whether any table in it is another than before."""
        is_changed = False
        for front, route in view.routes.items():
            known = self._tables.get(front, ())
            if known and known[0].entries == route.table.entries:
                continue
            is_changed = True
            self._tables[front] = (route.table, *known)[:GENERATIONS_KEPT]
        return is_changed

    def expected(self, key: FlowKey) -> TargetName | None:
        """Return the target that the newest table gives a flow, or ``None``."""
        choices = self.choices(key)
        return choices[0] if choices else None

    def choices(self, key: FlowKey) -> list[TargetName | None]:
        """Return the targets that the tables give a flow, the newest table's first."""
        digest = flow_hash(key)
        tables = self._tables.get(Endpoint(key.service, key.service_port), ())
        return [table.choose(digest) for table in tables]
