"""Which change of one voter brings a caught-up replica into the cluster.

Changing one voter at a time keeps every old majority overlapping every new one (Ongaro's
dissertation, 2014, section 4.1), so a replacement takes two changes: the lost voter leaves, then
the new one enters.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from ..types import HostName
from .log import Voter


def next_voters(
    voters: tuple[Voter, ...],
    names: Collection[HostName],
    learner: Voter,
    is_silent: Callable[[Voter], bool],
) -> tuple[Voter, ...] | None:
    """Return the voters after the next step towards admitting a learner, or ``None``.

    :param names: the control hosts of the settings.
    :param is_silent: whether a voter has not answered for a lease.
    """
    if learner.name not in names:
        return None
    for voter in voters:
        replaced = voter.name == learner.name
        surplus = voter.name not in names and len(voters) >= len(names)
        if (replaced and is_silent(voter)) or surplus:
            return tuple(other for other in voters if other != voter)
    if any(voter.name == learner.name for voter in voters) or len(voters) >= len(names):
        return None
    return tuple(sorted((*voters, learner)))
