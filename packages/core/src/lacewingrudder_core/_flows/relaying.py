"""Selects the host to which a packet of an unknown flow is relayed next."""

from __future__ import annotations

from typing import NamedTuple

from .._routing.homes import HomeRank
from ..types import HostName
from .types import Stage


class Hop(NamedTuple):
    """The host to which a packet is relayed next, and the stage that it then has."""

    host: HostName
    stage: Stage


def next_hop(name: HostName, rank: HomeRank, stage: Stage) -> Hop | None:
    """Return the host to ask next, or ``None`` if this host has to decide itself.

    The home asks the backup, which was the home before a host joined. The backup asks the remote
    backup, which served the flow while the home's zone was partitioned. If no host knows the flow,
    the last one reports this to the home.

    :param name: the name of this host.
    :param stage: the stage at which this host received the packet.
    """
    if stage is Stage.FABRIC and rank.home != name:
        return Hop(rank.home, Stage.HOME)
    if stage <= Stage.HOME:
        host = rank.backup if rank.home == name else rank.home
        if host is not None and host != name:
            return Hop(host, Stage.BACKUP)
    if stage <= Stage.BACKUP and rank.remote_backup not in (None, name, rank.backup):
        assert rank.remote_backup is not None
        return Hop(rank.remote_backup, Stage.REMOTE_BACKUP)
    if stage <= Stage.REMOTE_BACKUP and rank.home != name:
        return Hop(rank.home, Stage.UNKNOWN)
    return None
