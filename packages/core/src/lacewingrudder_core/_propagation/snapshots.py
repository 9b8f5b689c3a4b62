"""Catalogues in parts, each well below the message limit, and the digest that checks the whole."""

from __future__ import annotations

from .._notes.catalogue import Catalogue
from ..hashing import name_hash
from ..messages import SnapshotPart

ITEMS_PER_PART = 64


def catalogue_digest(catalogue: Catalogue) -> int:
    """Return a hash of the services and orders of a catalogue; receipts do not count."""
    return name_hash(repr((catalogue.services, sorted(catalogue.orders)))) >> 1


class DigestCache:
    """Keeps the digest of the last catalogue it was asked for, so that it is worked out once.

    Catalogues are compared by identity: to hash or compare one costs as much as its digest.
    """

    def __init__(self) -> None:
        self._catalogue: Catalogue | None = None
        self._digest = 0

    def of(self, catalogue: Catalogue) -> int:
        """Return the digest of a catalogue."""
        if catalogue is not self._catalogue:
            self._catalogue = catalogue
            self._digest = catalogue_digest(catalogue)
        return self._digest


def part_count(catalogue: Catalogue) -> int:
    """Return how many parts a catalogue makes."""
    items = max(len(catalogue.services), len(catalogue.orders))
    return max(1, -(-items // ITEMS_PER_PART))


def snapshot_part(catalogue: Catalogue, index: int) -> SnapshotPart:
    """Return one part of a catalogue.

    :param index: from 0; past the end the part holds nothing.
    """
    items = slice(index * ITEMS_PER_PART, (index + 1) * ITEMS_PER_PART)
    return SnapshotPart(
        catalogue.revision,
        catalogue_digest(catalogue),
        index,
        part_count(catalogue),
        catalogue.services[items],
        catalogue.orders[items],
    )


class SnapshotBuilder:
    """Collects the parts of one snapshot at a time, in order."""

    def __init__(self) -> None:
        self._parts: list[SnapshotPart] = []

    @property
    def next_index(self) -> int:
        """The part that is missing next."""
        return len(self._parts)

    def add(self, part: SnapshotPart) -> Catalogue | None:
        """Take a part; return the catalogue once it is whole and its digest matches."""
        first = self._parts[0] if self._parts else part
        if (part.revision, part.digest, part.parts) != (first.revision, first.digest, first.parts):
            self._parts = []
        if part.part != len(self._parts):
            return None
        self._parts.append(part)
        if len(self._parts) < part.parts:
            return None
        return self._assemble()

    def _assemble(self) -> Catalogue | None:
        parts, self._parts = self._parts, []
        catalogue = Catalogue(
            parts[0].revision,
            tuple(service for part in parts for service in part.services),
            tuple(order for part in parts for order in part.orders),
        )
        return catalogue if catalogue_digest(catalogue) == parts[0].digest else None
