"""Configurations that an operator hands in as a whole, beside release notes."""

from __future__ import annotations

from typing import NamedTuple


class StoredConfiguration(NamedTuple):
    """A whole configuration as its operator sent it; the highest version is in force.

    :param version: chosen by the operator; grows from one configuration to the next.
    :param document: the operator's bytes, packed; only an adapter reads them.
    """

    version: int
    document: bytes
