"""Who may vote: named by the settings, or found through seeds."""

from __future__ import annotations

import abc
from collections.abc import Callable, Collection, Iterable

from ..types import HostName
from .log import ReplicaId

VOTERS_LIMIT = 9
"""The most voters that the log is led with; a larger quorum only adds latency."""


class VoterPolicy(abc.ABC):
    """Decides which hosts found a cluster, and who enters and leaves its voters.

    Voters change one at a time, which keeps every old majority overlapping every new one (Ongaro's
    dissertation, 2014, section 4.1); a replacement takes two changes.
    """

    @property
    @abc.abstractmethod
    def founders(self) -> frozenset[HostName]:
        """Hosts that found a cluster together while all are blank; empty if this host must not."""

    @property
    @abc.abstractmethod
    def contacts(self) -> frozenset[HostName]:
        """Hosts to which a host without a leader makes itself known."""

    @abc.abstractmethod
    def admits(self, name: HostName) -> bool:
        """Return whether a host may become a voter."""

    @abc.abstractmethod
    def without(
        self, voters: tuple[ReplicaId, ...], is_silent: Callable[[ReplicaId], bool]
    ) -> tuple[ReplicaId, ...] | None:
        """Return the voters after one leaves that nobody replaces, or ``None``.

        :param is_silent: whether a voter has not answered for long.
        """

    @abc.abstractmethod
    def with_learner(
        self,
        voters: tuple[ReplicaId, ...],
        learner: ReplicaId,
        is_silent: Callable[[ReplicaId], bool],
    ) -> tuple[ReplicaId, ...] | None:
        """Return the voters after the next step towards admitting a learner, or ``None``.

        :param learner: a replica that has caught up.
        :param is_silent: whether a voter has not answered for a lease.
        """


class StaticVoters(VoterPolicy):
    """The control hosts of the settings, each with a fixed name.

    :param names: all of them.
    """

    def __init__(self, names: Collection[HostName]) -> None:
        self._names = frozenset(names)

    @property
    def founders(self) -> frozenset[HostName]:
        """All control hosts of the settings."""
        return self._names

    @property
    def contacts(self) -> frozenset[HostName]:
        """All control hosts of the settings."""
        return self._names

    def admits(self, name: HostName) -> bool:
        """Return whether the settings name the host."""
        return name in self._names

    def without(
        self, voters: tuple[ReplicaId, ...], is_silent: Callable[[ReplicaId], bool]
    ) -> tuple[ReplicaId, ...] | None:
        """Let nobody leave: the settings say who votes."""
        return None

    def with_learner(
        self,
        voters: tuple[ReplicaId, ...],
        learner: ReplicaId,
        is_silent: Callable[[ReplicaId], bool],
    ) -> tuple[ReplicaId, ...] | None:
        """Replace a lost namesake, or a voter that the settings no longer name."""
        if learner.name not in self._names:
            return None
        for voter in voters:
            replaced = voter.name == learner.name
            surplus = voter.name not in self._names and len(voters) >= len(self._names)
            if (replaced and is_silent(voter)) or surplus:
                return _removed(voters, voter)
        if any(voter.name == learner.name for voter in voters) or len(voters) >= len(self._names):
            return None
        return _added(voters, learner)


class DiscoveredVoters(VoterPolicy):
    """Control hosts that find each other through seeds; nobody lists them.

    Every control host becomes a voter. One that is silent leaves when another waits to enter, and
    also without that from an even number of voters, whose majority gets smaller by it. A host that
    left and is heard again enters as any other.

    :param seeds: control hosts to begin with.
    :param founds: whether the system starts for the first time, so that the seeds found a cluster.
    """

    def __init__(self, seeds: Iterable[HostName], founds: bool) -> None:
        self._founders = frozenset(seeds) if founds else frozenset()
        self._contacts = frozenset(seeds)

    @property
    def founders(self) -> frozenset[HostName]:
        """The seeds of the first start."""
        return self._founders

    @property
    def contacts(self) -> frozenset[HostName]:
        """Seeds, and the control hosts that were learnt of since."""
        return self._contacts

    def add_contacts(self, names: Iterable[HostName]) -> None:
        """Take in control hosts that exist."""
        self._contacts |= frozenset(names)

    def remove_contacts(self, names: Iterable[HostName]) -> None:
        """Ask hosts no longer that are gone for good."""
        self._contacts -= frozenset(names)

    def admits(self, name: HostName) -> bool:
        """Return true: whoever reaches a control host as its peer has a disk for the log."""
        return True

    def without(
        self, voters: tuple[ReplicaId, ...], is_silent: Callable[[ReplicaId], bool]
    ) -> tuple[ReplicaId, ...] | None:
        """Let a silent voter leave an even number of them."""
        if len(voters) < 4 or len(voters) % 2:
            return None
        return _without_first(voters, is_silent)

    def with_learner(
        self,
        voters: tuple[ReplicaId, ...],
        learner: ReplicaId,
        is_silent: Callable[[ReplicaId], bool],
    ) -> tuple[ReplicaId, ...] | None:
        """Let the learner's lost namesake leave, else a silent voter; then the learner enters."""
        namesake = next((voter for voter in voters if voter.name == learner.name), None)
        if namesake is not None:
            return _removed(voters, namesake) if is_silent(namesake) else None
        fewer = _without_first(voters, is_silent) if len(voters) > 2 else None
        if fewer is not None:
            return fewer
        return _added(voters, learner) if len(voters) < VOTERS_LIMIT else None


def _without_first(
    voters: tuple[ReplicaId, ...], is_silent: Callable[[ReplicaId], bool]
) -> tuple[ReplicaId, ...] | None:
    silent = next((voter for voter in voters if is_silent(voter)), None)
    return None if silent is None else _removed(voters, silent)


def _removed(voters: tuple[ReplicaId, ...], leaving: ReplicaId) -> tuple[ReplicaId, ...]:
    return tuple(voter for voter in voters if voter != leaving)


def _added(voters: tuple[ReplicaId, ...], entering: ReplicaId) -> tuple[ReplicaId, ...]:
    return tuple(sorted((*voters, entering)))
