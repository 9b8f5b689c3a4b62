"""Targets, services and simulated hosts for tests of the life cycle of targets."""

import json
from importlib.resources import files
from typing import Any

from lacewingrudder_core._targets.core import TargetCore
from lacewingrudder_core._targets.events import (
    CatalogueChanged,
    HostsChanged,
    RecordsChanged,
    RecordsReceived,
    TargetEvent,
    Tick,
)
from lacewingrudder_core.chart import StateChart
from lacewingrudder_core.notes import Catalogue
from lacewingrudder_core.targets import (
    Announced,
    Announcement,
    AnnounceReply,
    Rejected,
    announcement_mac,
)
from lacewingrudder_core.types import (
    Kind,
    KindPort,
    OrderAction,
    Service,
    Target,
    TargetOrder,
    TargetRecord,
    TargetState,
    parse_address,
)

CHART = StateChart(json.loads((files("lacewingrudder_core.charts") / "target.json").read_text()))
PROOFDESK = Service(
    "proofdesk",
    parse_address("10.10.0.1"),
    "proofdesk-secret",
    (Kind("edits", 443, 9, False, 0.5), Kind("screens", 8443, 5, True, 0.3)),
)
SHEETROOM = Service(
    "sheetroom",
    parse_address("10.10.0.2"),
    "sheetroom-secret",
    (Kind("sheets", 443, 4, True, 0.5),),
)
CATALOGUE = Catalogue(1, (PROOFDESK, SHEETROOM))


def proof_target(number: int = 1, incarnation: int = 1, **changes: Any) -> Target:
    address = parse_address(f"10.10.0.{100 + number}")
    target = Target(
        f"10.10.0.{100 + number}:9000",
        "proofdesk",
        "adum",
        address,
        (KindPort("edits", 9000), KindPort("screens", 9001)),
        3,
        2000,
        incarnation,
    )
    return target._replace(**changes)


def sheet_target(number: int = 1, incarnation: int = 1) -> Target:
    ports = (KindPort("sheets", 9000),)
    return proof_target(number, incarnation, service="sheetroom", ports=ports)


def announcement(
    target: Target,
    sequence: int,
    state: TargetState = TargetState.SERVING,
    load: float = 0.0,
    key: str | None = None,
) -> Announcement:
    key = key or f"{target.service}-secret"
    mac = announcement_mac(key, target, state, load, sequence)
    return Announcement(target, state, load, sequence, mac)


def order(target: Target, action: OrderAction) -> Catalogue:
    return CATALOGUE._replace(revision=2, orders=(TargetOrder(target.name, action),))


class SimulatedHosts:
    """Entry hosts that receive each other's records at once, in simulated time."""

    def __init__(self, hosts: dict[str, str] | None = None) -> None:
        self.zones = hosts or {"entry-1": "adum"}
        self.cores = {name: TargetCore(name, zone, CHART) for name, zone in self.zones.items()}
        self.now = 100.0
        self.partitioned: set[str] = set()
        self.written_count = 0
        for core in self.cores.values():
            core.handle(CatalogueChanged(CATALOGUE), self.now)
            core.handle(HostsChanged(self.zones), self.now)

    def send(self, host: str, event: TargetEvent) -> str:
        """Pass an event to a host; return why it rejected the announcement, if it did."""
        reason = ""
        for effect in self.cores[host].handle(event, self.now):
            if isinstance(effect, AnnounceReply) and isinstance(effect.outcome, Rejected):
                reason = effect.outcome.reason
            if isinstance(effect, RecordsChanged) and effect.records:
                self.written_count += len(effect.records)
                self._propagate(host, effect.records)
        return reason

    def announce(self, sent: Announcement, host: str = "entry-1") -> str:
        return self.send(host, Announced(1, sent))

    def run(self, seconds: float, stopped: tuple[str, ...] = ()) -> None:
        """Let time pass; hosts that are not stopped get a tick every 0.1 s."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for host in self.cores:
                if host not in stopped:
                    self.send(host, Tick())

    def keep_renewing(self, target: Target, seconds: int, sequence: int, **options: Any) -> int:
        """Renew a target's lease every second; return its next sequence number."""
        host = options.pop("host", "entry-1")
        stopped = options.pop("stopped", ())
        for _ in range(seconds):
            self.announce(announcement(target, sequence, **options), host)
            sequence += 1
            self.run(1, stopped)
        return sequence

    def kill(self, host: str) -> None:
        """Kill a host and notify the others."""
        del self.cores[host]
        self.zones = {name: zone for name, zone in self.zones.items() if name != host}
        for core in self.cores.values():
            core.handle(HostsChanged(self.zones), self.now)

    def record(self, target: Target, host: str = "entry-1") -> TargetRecord:
        return next(r for r in self.cores[host].records if r.target.name == target.name)

    def state(self, target: Target, host: str = "entry-1") -> TargetState:
        return self.record(target, host).state

    def heal(self) -> None:
        """End all partitions and exchange the records of all hosts."""
        self.partitioned.clear()
        for _ in range(3):
            for host, core in list(self.cores.items()):
                self._propagate(host, core.records)

    def _propagate(self, sender: str, records: tuple[TargetRecord, ...]) -> None:
        if sender in self.partitioned:
            return
        for name in self.cores:
            if name != sender and name not in self.partitioned:
                self.send(name, RecordsReceived(records))
