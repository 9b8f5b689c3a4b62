"""The systems of the two firms, scaled down for one machine."""

from __future__ import annotations

from typing import NamedTuple


class KindShape(NamedTuple):
    """A kind of work on a service, as a release note describes it."""

    name: str
    port: int
    urgency: int
    idempotent: bool
    share: float


class ServiceShape(NamedTuple):
    """A service and the number of its targets.

    :param slots: number of requests that each target can work on at the same time.
    """

    name: str
    address: str
    key: str
    kinds: tuple[KindShape, ...]
    targets: int
    slots: int


class FirmShape(NamedTuple):
    """A firm's system: its zones, its services and the number of its entry hosts."""

    name: str
    zones: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    entry_hosts: int


ASANTE_BOATENG = FirmShape(
    name="asante-boateng",
    zones=("adum", "suame", "ahodwo"),
    services=(
        ServiceShape(
            "proofdesk",
            "10.10.0.1",
            "proofdesk-secret",
            (
                KindShape("edits", 443, 9, False, 0.5),
                KindShape("screens", 8443, 5, True, 0.3),
            ),
            targets=7,
            slots=3,
        ),
        ServiceShape(
            "sheetroom",
            "10.10.0.2",
            "sheetroom-secret",
            (KindShape("sheets", 443, 4, True, 0.5),),
            targets=3,
            slots=3,
        ),
    ),
    entry_hosts=7,
)

GANTS_LAURENTIDE = FirmShape(
    name="gants-laurentide",
    zones=("qc-east-1", "qc-east-2", "qc-east-3", "qc-east-4"),
    services=(
        ServiceShape(
            "comptoir",
            "10.20.0.1",
            "comptoir-secret",
            (
                KindShape("order-lines", 443, 9, False, 0.5),
                KindShape("stock-watch", 8443, 3, True, 0.3),
            ),
            targets=7,
            slots=2,
        ),
        ServiceShape(
            "fiches",
            "10.20.0.2",
            "fiches-secret",
            (KindShape("catalogue", 443, 1, True, 0.5),),
            targets=4,
            slots=2,
        ),
    ),
    entry_hosts=7,
)

FIRMS = (ASANTE_BOATENG, GANTS_LAURENTIDE)
