"""Evacuations: availability zones whose targets get no new flows, by order of an operator."""

from __future__ import annotations

import enum
from typing import NamedTuple

from ..types import ZoneName


class ZoneAction(enum.StrEnum):
    """The actions that an operator can order for a zone."""

    EVACUATE = "evacuate"
    RESTORE = "restore"


class ZoneOrder(NamedTuple):
    """An operator's order for all targets of a zone; a later order for the zone replaces it."""

    zone: ZoneName
    action: ZoneAction


class Evacuations(NamedTuple):
    """The evacuated zones.

    :param revision: revision of the catalogue that changed them last; the highest is the newest.
    :param zones: in alphabetical order.
    """

    revision: int = 0
    zones: tuple[ZoneName, ...] = ()

    def is_in_force(self, order: ZoneOrder) -> bool:
        """Return whether an order would change nothing."""
        return (order.zone in self.zones) == (order.action is ZoneAction.EVACUATE)

    def apply(self, order: ZoneOrder, revision: int) -> Evacuations:
        """Return the evacuations after an order.

        :param revision: revision of the catalogue that results from the order.
        """
        zones = set(self.zones) - {order.zone}
        if order.action is ZoneAction.EVACUATE:
            zones.add(order.zone)
        return Evacuations(revision, tuple(sorted(zones)))
