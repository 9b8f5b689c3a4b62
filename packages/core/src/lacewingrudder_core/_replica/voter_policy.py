"""Policies for the voters: named in the settings, or discovered through seeds."""

from __future__ import annotations

import abc
from collections.abc import Callable, Collection, Iterable

from ..types import HostName
from .log import ReplicaId

MAX_VOTERS = 9
"""Maximum number of voters; a larger quorum only adds latency."""


class VoterPolicy(abc.ABC):
    """Decides which hosts bootstrap a cluster, and which replicas are added to or removed from it.

    Voters change one at a time, so that every old majority overlaps every new one (Ongaro's
    dissertation, 2014, section 4.1); a replacement takes two changes.
    """

    @property
    @abc.abstractmethod
    def bootstrap_hosts(self) -> frozenset[HostName]:
        """Hosts that bootstrap a cluster while all disks are empty; none if this host may not."""

    @property
    def initial_voters(self) -> tuple[ReplicaId, ...]:
        """The first voters, if all of them know each other's identity from the start."""
        return ()

    @property
    @abc.abstractmethod
    def contacts(self) -> frozenset[HostName]:
        """Hosts to send join requests to while this host is a learner or has no leader."""

    @abc.abstractmethod
    def admits(self, name: HostName) -> bool:
        """Return whether a host may become a voter."""

    @abc.abstractmethod
    def after_removal(
        self, voters: tuple[ReplicaId, ...], is_unresponsive: Callable[[ReplicaId], bool]
    ) -> tuple[ReplicaId, ...] | None:
        """Return the voters after the removal of one that is not replaced, or ``None``.

        :param is_unresponsive: whether a voter has not answered for several leases.
        """

    @abc.abstractmethod
    def after_admission(
        self,
        voters: tuple[ReplicaId, ...],
        learner: ReplicaId,
        is_unresponsive: Callable[[ReplicaId], bool],
    ) -> tuple[ReplicaId, ...] | None:
        """Return the voters after the next step towards admitting a learner, or ``None``.

        :param learner: a replica that has caught up.
        :param is_unresponsive: whether a voter has not answered for a lease.
        """


class StaticVoters(VoterPolicy):
    """A fixed set of control hosts, named in the settings.

    :param names: names of all control hosts.
    """

    def __init__(self, names: Collection[HostName]) -> None:
        self._names = frozenset(names)

    @property
    def bootstrap_hosts(self) -> frozenset[HostName]:
        """All control hosts of the settings."""
        return self._names

    @property
    def contacts(self) -> frozenset[HostName]:
        """All control hosts of the settings."""
        return self._names

    def admits(self, name: HostName) -> bool:
        """Return whether the settings name the host."""
        return name in self._names

    def after_removal(
        self, voters: tuple[ReplicaId, ...], is_unresponsive: Callable[[ReplicaId], bool]
    ) -> tuple[ReplicaId, ...] | None:
        """Return ``None``: a voter named in the settings leaves only for a replacement."""
        return None

    def after_admission(
        self,
        voters: tuple[ReplicaId, ...],
        learner: ReplicaId,
        is_unresponsive: Callable[[ReplicaId], bool],
    ) -> tuple[ReplicaId, ...] | None:
        """Return the voters without a voter to be replaced, or with the learner if there is room.

        A voter is replaced if it has the learner's name and is unresponsive, or if the settings no
        longer name it and there are at least as many voters as the settings name.
        """
        if learner.name not in self._names:
            return None
        for voter in voters:
            is_same_name = voter.name == learner.name
            is_surplus = voter.name not in self._names and len(voters) >= len(self._names)
            if (is_same_name and is_unresponsive(voter)) or is_surplus:
                return _removed(voters, voter)
        if any(voter.name == learner.name for voter in voters) or len(voters) >= len(self._names):
            return None
        return _added(voters, learner)


class DiscoveredVoters(VoterPolicy):
    """Control hosts that discover each other through seeds, without a complete list.

    Control hosts become voters, up to :data:`MAX_VOTERS`. An unresponsive voter is removed if the
    number of voters is even and at least four, because the majority then gets smaller. If the
    number is odd, the majority would stay as large, so a learner is admitted first. A host that was
    removed and answers again is admitted like any other.

    :param seeds: the first control hosts to contact.
    :param founds: whether this is the first start of the system, with empty disks on all hosts. The
        seeds then are the first voters, also those that never start.
    """

    def __init__(self, seeds: Iterable[HostName], founds: bool) -> None:
        # The first disk of a seed is identified by the seed's name; later ones by a random text.
        first_disks = sorted(ReplicaId(name, name) for name in seeds)
        self._initial_voters = tuple(first_disks) if founds else ()
        self._contacts = frozenset(seeds)

    @property
    def bootstrap_hosts(self) -> frozenset[HostName]:
        """None: the seeds need no agreement, see :attr:`initial_voters`."""
        return frozenset()

    @property
    def initial_voters(self) -> tuple[ReplicaId, ...]:
        """The first disks of the seeds on the first start, otherwise none."""
        return self._initial_voters

    @property
    def contacts(self) -> frozenset[HostName]:
        """The seeds, and the control hosts discovered since."""
        return self._contacts

    def add_contacts(self, names: Iterable[HostName]) -> None:
        """Add control hosts that were discovered."""
        self._contacts |= frozenset(names)

    def remove_contacts(self, names: Iterable[HostName]) -> None:
        """Remove control hosts that no longer belong to the system."""
        self._contacts -= frozenset(names)

    def admits(self, name: HostName) -> bool:
        """Return ``True``: a host that can reach a control host as a peer may keep the log."""
        return True

    def after_removal(
        self, voters: tuple[ReplicaId, ...], is_unresponsive: Callable[[ReplicaId], bool]
    ) -> tuple[ReplicaId, ...] | None:
        """Return the voters without an unresponsive one, or ``None``.

        A voter is removed only if the number of voters is even and at least four.
        """
        if not _has_spare_voter(voters):
            return None
        return _without_first_unresponsive(voters, is_unresponsive)

    def after_admission(
        self,
        voters: tuple[ReplicaId, ...],
        learner: ReplicaId,
        is_unresponsive: Callable[[ReplicaId], bool],
    ) -> tuple[ReplicaId, ...] | None:
        """Return the voters with the learner, or first without an unresponsive one.

        A voter of the learner's name is removed first, since its disk is lost; while it answers,
        the learner is not admitted. An unresponsive voter of another name may come back with its
        disk. It is removed first only if that makes the majority smaller, or makes room.
        """
        same_name = next((voter for voter in voters if voter.name == learner.name), None)
        if same_name is not None:
            return _removed(voters, same_name) if is_unresponsive(same_name) else None
        has_room = len(voters) < MAX_VOTERS
        remaining = None
        if not has_room or _has_spare_voter(voters):
            remaining = _without_first_unresponsive(voters, is_unresponsive)
        if remaining is not None:
            return remaining
        return _added(voters, learner) if has_room else None


def _has_spare_voter(voters: tuple[ReplicaId, ...]) -> bool:
    """Return whether the majority of one voter less is smaller, and more than a single voter."""
    return len(voters) >= 4 and len(voters) % 2 == 0


def _without_first_unresponsive(
    voters: tuple[ReplicaId, ...], is_unresponsive: Callable[[ReplicaId], bool]
) -> tuple[ReplicaId, ...] | None:
    unresponsive = next((voter for voter in voters if is_unresponsive(voter)), None)
    return None if unresponsive is None else _removed(voters, unresponsive)


def _removed(voters: tuple[ReplicaId, ...], leaving: ReplicaId) -> tuple[ReplicaId, ...]:
    return tuple(voter for voter in voters if voter != leaving)


def _added(voters: tuple[ReplicaId, ...], entering: ReplicaId) -> tuple[ReplicaId, ...]:
    return tuple(sorted((*voters, entering)))
