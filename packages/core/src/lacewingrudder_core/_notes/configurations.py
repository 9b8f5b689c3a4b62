"""Configurations that an operator submits as a whole, independent of release notes."""

from __future__ import annotations

from typing import NamedTuple


class StoredConfiguration(NamedTuple):
    """A whole configuration; the one with the highest version is in force.

    :param version: chosen by the operator; increases from one configuration to the next.
    :param document: the operator's document, compressed; only an adapter reads it.
    """

    version: int
    document: bytes
