"""Which change of the voters a leader makes next, and when it may make it.

The voters change one at a time, and no change may lower the number of losses that the cluster
bears. An addition never does, and neither does the removal of a voter whose disk is lost. Any other
removal might: if voters that remain are lost before it is committed, the removed one is needed. So
a voter that may still run is never removed, also if it shuts down, and the leader confirms first
that the voters that remain are there.
"""

from __future__ import annotations

from typing import NamedTuple

from .election import LEASE_SECONDS
from .log import ReplicaId
from .progress import ProgressTable
from .state import ReplicaState
from .voter_policy import VoterPolicy

VOTER_REMOVAL_TIMEOUT_SECONDS = 3.0
"""A voter that is unresponsive for this long, three leases, may be removed without replacement."""

CONFIRMATION_TIMEOUT_SECONDS = 0.5
"""A removal waits this long for the answers of the voters that remain; then they are asked again,
if the removal is still to be made."""


class _Removal(NamedTuple):
    """A removal that waits until the voters that remain have answered.

    :param voters: the voters that remain.
    :param asked_at: they have to answer a message that was sent at this time or later.
    """

    voters: tuple[ReplicaId, ...]
    asked_at: float


class VoterChanges:
    """Finds the next change of the voters in one term of a leader.

    :param progress: what the leader knows of the other replicas.
    :param policy: decides which replicas become voters and which are removed.
    :param term_start_index: index of the first entry of the term.
    """

    def __init__(
        self,
        state: ReplicaState,
        progress: ProgressTable,
        policy: VoterPolicy,
        term_start_index: int,
    ) -> None:
        self._state = state
        self._progress = progress
        self._policy = policy
        self._term_start_index = term_start_index
        self._checked_commit_index = term_start_index
        self._removal: _Removal | None = None

    @property
    def is_allowed(self) -> bool:
        """Whether the last change of the voters and an entry of this term are committed."""
        state = self._state
        return state.commit_index >= max(state.log.voters_index, self._term_start_index)

    def is_asking(self, now: float) -> bool:
        """Return whether a removal waits for answers of the voters that remain."""
        removal = self._removal
        return removal is not None and now - removal.asked_at < CONFIRMATION_TIMEOUT_SECONDS

    def find(self, now: float) -> tuple[ReplicaId, ...] | None:
        """Return the voters after the next change, or ``None`` if there is none to make."""
        voters = self._next_voters(now)
        self._checked_commit_index = max(self._term_start_index, self._state.commit_index)
        return voters

    def has_to_ask(self, voters: tuple[ReplicaId, ...]) -> bool:
        """Return whether the voters that remain have to answer before a change to them.

        That the disk of a voter is lost is known from a learner of its name, too.
        """
        state = self._state
        learners = {row.replica.name for row in self._progress.learners(state.log.voters)}
        removed = set(state.log.voters) - set(voters)
        return not all(
            row.identity in state.lost_identities or row.name in learners for row in removed
        )

    def ask(self, voters: tuple[ReplicaId, ...], asked_at: float) -> None:
        """Begin to wait for answers of the voters that remain after a removal.

        :param asked_at: time of the messages that they have to answer.
        """
        self._removal = _Removal(voters, asked_at)

    def pop_confirmed(self, now: float) -> tuple[ReplicaId, ...] | None:
        """Return the voters after a removal once all of them have answered, else ``None``.

        Those that were silent for longer than :data:`VOTER_REMOVAL_TIMEOUT_SECONDS` needn't answer.
        """
        removal = self._removal
        if removal is None or not self.is_asking(now):
            return None
        others = [voter for voter in removal.voters if voter != self._state.own_id]
        if not all(self._has_answered(voter, removal.asked_at, now) for voter in others):
            return None
        self._removal = None
        return removal.voters if self._next_voters(now) == removal.voters else None

    def _has_answered(self, voter: ReplicaId, asked_at: float, now: float) -> bool:
        row = self._progress.get(voter.identity)
        if row is None:
            return False
        return row.answered_since(asked_at) or row.is_silent(now, VOTER_REMOVAL_TIMEOUT_SECONDS)

    def _next_voters(self, now: float) -> tuple[ReplicaId, ...] | None:
        """Return the voters after the next change.

        A learner has caught up if it has all entries that were committed at the last check. It
        needn't have the newest ones, since those may come faster than its answers.
        A voter whose disk is lost leaves before any learner is admitted: with one more voter before
        that, the loss of the learner's disk could end the quorum.
        """
        log = self._state.log
        if not self.is_allowed:
            return None
        remaining = tuple(
            voter for voter in log.voters if voter.identity not in self._state.lost_identities
        )
        if remaining != log.voters:
            return remaining
        learners = [row for row in self._progress.learners(log.voters) if row.is_available(now)]
        for row in learners:
            if row.match_index < self._checked_commit_index:
                continue
            voters = self._policy.after_admission(
                log.voters, row.replica, lambda voter: self._is_unresponsive(voter, now)
            )
            if voters is not None:
                return voters
        return self._policy.after_removal(
            log.voters,
            lambda voter: self._is_unresponsive(voter, now, VOTER_REMOVAL_TIMEOUT_SECONDS),
        )

    def _is_unresponsive(
        self, replica: ReplicaId, now: float, limit: float = LEASE_SECONDS
    ) -> bool:
        row = self._progress.get(replica.identity)
        return row is not None and (row.is_silent(now, limit) or row.has_left(now))
