"""Transfer of catalogues in parts below the message size limit, checked by a digest."""

from __future__ import annotations

from .._notes.catalogue import Catalogue
from .._notes.evacuations import Evacuations
from ..hashing import name_hash
from ..messages import SnapshotPart

ITEMS_PER_PART = 64


def catalogue_digest(catalogue: Catalogue) -> int:
    """Return a hash of the services, orders and evacuations of a catalogue, and of nothing else.

    Evacuations are left out where no zone was ever evacuated: the digest is then that of earlier
    releases, whose hosts would otherwise be sent a snapshot with each renewal of a subscription.
    """
    contents: tuple[object, ...] = (catalogue.services, sorted(catalogue.orders))
    if catalogue.evacuations.revision:
        contents = (*contents, tuple(catalogue.evacuations))
    return name_hash(repr(contents)) >> 1


class DigestCache:
    """Caches the digest of the latest catalogue.

    Catalogues are compared by identity, because comparing or hashing their contents costs as much
    as computing the digest.
    """

    def __init__(self) -> None:
        self._catalogue: Catalogue | None = None
        self._digest = 0

    def of(self, catalogue: Catalogue) -> int:
        """Return the digest of a catalogue, computed only if the catalogue is another object."""
        if catalogue is not self._catalogue:
            self._catalogue = catalogue
            self._digest = catalogue_digest(catalogue)
        return self._digest


def part_count(catalogue: Catalogue) -> int:
    """Return the number of parts that a catalogue is split into."""
    items = max(len(catalogue.services), len(catalogue.orders))
    return max(1, -(-items // ITEMS_PER_PART))


def snapshot_part(catalogue: Catalogue, index: int) -> SnapshotPart:
    """Return one part of a catalogue.

    :param index: position of the part, from 0; a part past the end is empty.
    """
    items = slice(index * ITEMS_PER_PART, (index + 1) * ITEMS_PER_PART)
    return SnapshotPart(
        catalogue.revision,
        catalogue_digest(catalogue),
        index,
        part_count(catalogue),
        catalogue.services[items],
        catalogue.orders[items],
        Evacuations() if index else catalogue.evacuations,
    )


class SnapshotBuilder:
    """Assembles a snapshot from parts that arrive in order, one snapshot at a time."""

    def __init__(self) -> None:
        self._parts: list[SnapshotPart] = []

    @property
    def next_index(self) -> int:
        """Index of the next part to request."""
        return len(self._parts)

    def add(self, part: SnapshotPart) -> Catalogue | None:
        """Add a part; return the catalogue once it is complete and its digest matches.

        A part of another snapshot discards the parts collected so far.
        """
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
            evacuations=parts[0].evacuations,
        )
        return catalogue if catalogue_digest(catalogue) == parts[0].digest else None
