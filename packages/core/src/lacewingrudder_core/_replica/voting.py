"""Requesting, granting and counting votes."""

from __future__ import annotations

from collections.abc import Callable

from .election import Ballot
from .log import ReplicaId
from .messages import MemberMessage, PreVoteReply, PreVoteRequest, VoteReply, VoteRequest
from .state import ReplicaState


class Voting:
    """Runs the elections of a replica, and answers the vote requests of others."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._ballot = Ballot(())

    @property
    def is_won(self) -> bool:
        """Whether a majority granted the latest round of requests."""
        return self._ballot.won

    def ask_before(self) -> None:
        """Start a pre-vote: ask the other voters whether an election could be won."""
        log = self._state.log
        self._ask(lambda to: PreVoteRequest(self._state.header(to), log.last_index, log.last_term))

    def ask(self, is_leadership_transfer: bool = False) -> None:
        """Start an election: enter the next term, vote for this host and request other votes.

        :param is_leadership_transfer: whether the leader asked for this election.
        """
        state = self._state
        state.enter_term(state.term + 1, state.me.identity)
        log = state.log
        self._ask(
            lambda to: VoteRequest(
                state.header(to), log.last_index, log.last_term, is_leadership_transfer
            )
        )

    def count(self, message: PreVoteReply | VoteReply) -> None:
        """Count a reply if it grants the vote."""
        if message.granted:
            self._ballot.grant(message.header.sender.identity)

    def answer_before(self, message: PreVoteRequest, is_led: bool) -> None:
        """Answer whether this host would vote for the sender.

        :param is_led: whether this host knows a live leader and therefore denies the pre-vote.
        """
        state, sender = self._state, message.header.sender
        current = message.header.term >= state.term
        granted = current and not is_led and self._is_up_to_date(message)
        state.send(sender, PreVoteReply(state.header(sender), granted))

    def answer(self, message: VoteRequest) -> bool:
        """Grant or deny this host's vote; return whether it was granted for the first time."""
        state, sender = self._state, message.header.sender
        current = message.header.term == state.term and state.vote in ("", sender.identity)
        granted = current and self._is_up_to_date(message)
        is_new = granted and not state.vote
        if is_new:
            state.enter_term(state.term, sender.identity)
        state.send(sender, VoteReply(state.header(sender), granted))
        return is_new

    def _ask(self, request: Callable[[ReplicaId], MemberMessage]) -> None:
        state = self._state
        self._ballot = Ballot(state.log.voters)
        self._ballot.grant(state.me.identity)
        for voter in state.log.voters:
            if voter != state.me:
                state.send(voter, request(voter))

    def _is_up_to_date(self, message: PreVoteRequest | VoteRequest) -> bool:
        log = self._state.log
        theirs = (message.last_term, message.last_index)
        return theirs >= (log.last_term, log.last_index)
