"""Asking for votes, giving them, and counting them."""

from __future__ import annotations

from collections.abc import Callable

from .election import Ballot
from .log import ReplicaId
from .messages import MemberMessage, PreVoteReply, PreVoteRequest, VoteReply, VoteRequest
from .state import ReplicaState


class Voting:
    """The votes that a replica asks for and gives."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._ballot = Ballot(())

    @property
    def is_won(self) -> bool:
        """Whether a majority granted what was last asked for."""
        return self._ballot.won

    def ask_before(self) -> None:
        """Ask whether an election in the next term could be won."""
        log = self._state.log
        self._ask(lambda to: PreVoteRequest(self._state.header(to), log.last_index, log.last_term))

    def ask(self, is_leadership_transfer: bool = False) -> None:
        """Go to the next term with the own vote, and ask for those of the others."""
        state = self._state
        state.enter_term(state.term + 1, state.me.identity)
        log = state.log
        self._ask(
            lambda to: VoteRequest(
                state.header(to), log.last_index, log.last_term, is_leadership_transfer
            )
        )

    def count(self, message: PreVoteReply | VoteReply) -> None:
        """Count a vote, if it was granted."""
        if message.granted:
            self._ballot.grant(message.header.sender.identity)

    def answer_before(self, message: PreVoteRequest, is_led: bool) -> None:
        """Say whether this host would vote for the sender.

        :param is_led: whether there is a leader, so that no election is due.
        """
        state, sender = self._state, message.header.sender
        current = message.header.term >= state.term
        granted = current and not is_led and self._is_up_to_date(message)
        state.send(sender, PreVoteReply(state.header(sender), granted))

    def answer(self, message: VoteRequest) -> bool:
        """Give the vote of this term or refuse it; return whether it was given just now."""
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
