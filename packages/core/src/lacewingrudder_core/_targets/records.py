"""What a host knows of all targets: records that merge alike on every host.

A record is superseded by one of a higher incarnation, and within an incarnation by one of a higher
version. Two hosts may write the same version at once; the one that takes less work off the target
then loses, and among equals the order of the fields decides, so that all hosts keep the same one.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..hashing import name_hash
from ..types import Endpoint, HostName, TargetName, TargetRecord, TargetState

_STATE_RANK = {state: rank for rank, state in enumerate(TargetState)}

Rank = tuple[int, int, int, HostName, TargetRecord]


def record_rank(record: TargetRecord) -> Rank:
    """Return the rank of a record; the highest of a target's records is the one to keep."""
    return (
        record.target.incarnation,
        record.version,
        _STATE_RANK[record.state],
        record.owner,
        record,
    )


def supersedes(record: TargetRecord, known: TargetRecord | None) -> bool:
    """Return whether a record is to be kept in place of the known one of the same target."""
    return known is None or record_rank(record) > record_rank(known)


def record_fingerprint(record: TargetRecord) -> str:
    """Return a text that differs between any two records that hosts may hold of a target."""
    return "|".join(
        str(part)
        for part in (
            record.target.incarnation,
            record.version,
            record.state,
            record.owner,
            record.weight,
            record.load,
            record.sequence,
            record.flaps,
            record.target.service,
        )
    )


def records_digest(records: Iterable[TargetRecord]) -> int:
    """Return a hash over records that does not depend on their order."""
    digest = 0
    for record in records:
        digest ^= name_hash(f"{record.target.name}|{record_fingerprint(record)}")
    return digest


class RecordBook:
    """The records of all targets, one for each name."""

    def __init__(self) -> None:
        self._records: dict[TargetName, TargetRecord] = {}
        self._by_endpoint: dict[Endpoint, set[TargetName]] = {}

    @property
    def records(self) -> tuple[TargetRecord, ...]:
        """All records, in no particular order."""
        return tuple(self._records.values())

    def get(self, name: TargetName) -> TargetRecord | None:
        """Return the record of a target, or ``None``."""
        return self._records.get(name)

    def at(self, endpoint: Endpoint) -> list[TargetRecord]:
        """Return the records that name an endpoint."""
        return [self._records[name] for name in sorted(self._by_endpoint.get(endpoint, ()))]

    def put(self, record: TargetRecord) -> None:
        """Keep a record in place of the one of the same name."""
        name = record.target.name
        known = self._records.get(name)
        if known is None or known.target != record.target:
            self._index(known, record)
        self._records[name] = record

    def _index(self, known: TargetRecord | None, record: TargetRecord) -> None:
        name = record.target.name
        if known is not None:
            for endpoint in record_endpoints(known):
                self._by_endpoint[endpoint].discard(name)
        for endpoint in record_endpoints(record):
            self._by_endpoint.setdefault(endpoint, set()).add(name)


def record_endpoints(record: TargetRecord) -> list[Endpoint]:
    """Return all endpoints of a record's target."""
    return [Endpoint(record.target.address, entry.port) for entry in record.target.ports]
