"""Bucketed digests, with which two hosts find the differences between their tables.

Each table entry is assigned to a bucket by the hash of its name. The digest of a bucket is the XOR
of the hashes of its entries and therefore does not depend on their order. Exchanging the digests
takes far fewer bytes than exchanging the entries.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..hashing import name_hash

DIGEST_BYTES = 4
MIN_BUCKETS = 8
MAX_BUCKETS = 1024
ENTRIES_PER_BUCKET = 8
_MASK = (1 << (8 * DIGEST_BYTES)) - 1


class Fingerprint(NamedTuple):
    """The hashes that represent one table entry.

    :param name: hash of the entry's name.
    :param contents: hash of its name and contents.
    """

    name: int
    contents: int

    @classmethod
    def of(cls, name: str, contents: str) -> Fingerprint:
        """Return the fingerprint of an entry with a name and contents."""
        return cls(name_hash(name), name_hash(f"{name}|{contents}"))


def bucket_count(entries: int) -> int:
    """Return the number of buckets, a power of two, for a table with that many entries."""
    count = MIN_BUCKETS
    while count < MAX_BUCKETS and count * ENTRIES_PER_BUCKET < entries:
        count *= 2
    return count


def bucket_digests(fingerprints: Iterable[Fingerprint], count: int) -> bytes:
    """Return the concatenated digests of all buckets, :data:`DIGEST_BYTES` each."""
    digests = [0] * count
    for fingerprint in fingerprints:
        digests[fingerprint.name % count] ^= fingerprint.contents
    return b"".join((digest & _MASK).to_bytes(DIGEST_BYTES, "big") for digest in digests)


def table_digest(fingerprints: Iterable[Fingerprint]) -> int:
    """Return a single digest of a complete table."""
    digest = 0
    for fingerprint in fingerprints:
        digest ^= fingerprint.contents
    return digest & _MASK


def differing_buckets(mine: Iterable[Fingerprint], theirs: bytes) -> frozenset[int] | None:
    """Return the indexes of the buckets in which two tables differ.

    :param mine: the fingerprints of the local table.
    :param theirs: the bucket digests of the other table.
    :return: ``None`` if the length of ``theirs`` is not valid.
    """
    count, rest = divmod(len(theirs), DIGEST_BYTES)
    if rest or not MIN_BUCKETS <= count <= MAX_BUCKETS:
        return None
    own = bucket_digests(mine, count)
    starts = range(0, len(theirs), DIGEST_BYTES)
    return frozenset(
        index
        for index, start in enumerate(starts)
        if own[start : start + DIGEST_BYTES] != theirs[start : start + DIGEST_BYTES]
    )
