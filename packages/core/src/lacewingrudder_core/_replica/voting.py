"""Requesting, granting and counting votes."""

from __future__ import annotations

from collections.abc import Callable

from .election import VoteCounter
from .log import ReplicaId
from .messages import MemberMessage, PreVoteReply, PreVoteRequest, VoteReply, VoteRequest
from .state import ReplicaState


class Voting:
    """Runs the elections of a replica, and answers the vote requests of others."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._votes = VoteCounter(())

    @property
    def is_won(self) -> bool:
        """Whether a quorum granted the latest round of requests."""
        return self._votes.is_won

    def request_pre_votes(self) -> None:
        """Start a pre-vote: ask the other voters whether an election could be won."""
        log = self._state.log
        self._request_from_voters(
            lambda to: PreVoteRequest(self._state.header(to), log.last_index, log.last_term)
        )

    def request_votes(self, is_leadership_transfer: bool = False) -> None:
        """Start an election: enter the next term, vote for this host and request other votes.

        :param is_leadership_transfer: whether the leader asked for this election.
        """
        state = self._state
        state.enter_term(state.term + 1, state.own_id.identity)
        log = state.log
        self._request_from_voters(
            lambda to: VoteRequest(
                state.header(to), log.last_index, log.last_term, is_leadership_transfer
            )
        )

    def count_reply(self, message: PreVoteReply | VoteReply) -> None:
        """Count a reply if it grants the vote."""
        if message.granted:
            self._votes.add(message.header.sender.identity)

    def answer_pre_vote(self, message: PreVoteRequest, has_leader: bool) -> None:
        """Answer whether this host would vote for the sender.

        :param has_leader: whether this host knows a live leader and therefore denies the pre-vote.
        """
        state, sender = self._state, message.header.sender
        current = message.header.term >= state.term
        granted = current and not has_leader and not self.has_newer_log(message)
        state.send(sender, PreVoteReply(state.header(sender), granted))

    def answer_vote(self, message: VoteRequest) -> bool:
        """Grant or deny this host's vote; return whether it was granted for the first time."""
        state, sender = self._state, message.header.sender
        current = message.header.term == state.term and state.voted_for in ("", sender.identity)
        granted = current and not self.has_newer_log(message)
        is_new = granted and not state.voted_for
        if is_new:
            state.enter_term(state.term, sender.identity)
        state.send(sender, VoteReply(state.header(sender), granted))
        return is_new

    def has_newer_log(self, message: PreVoteRequest | VoteRequest) -> bool:
        """Return whether this host's log is more up to date than that of a candidate."""
        log = self._state.log
        return (log.last_term, log.last_index) > (message.last_term, message.last_index)

    def _request_from_voters(self, request: Callable[[ReplicaId], MemberMessage]) -> None:
        state = self._state
        self._votes = VoteCounter(state.voter_sets, state.lost_identities)
        self._votes.add(state.own_id.identity)
        for voter in state.all_voters:
            if voter != state.own_id:
                state.send(voter, request(voter))
