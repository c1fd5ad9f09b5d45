"""Elections with pre-votes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.consensus import role, timing
from limpetreel.consensus.messages import (
    pre_vote_reply,
    pre_vote_request,
    vote_reply,
    vote_request,
)

if TYPE_CHECKING:
    from limpetreel.consensus import node_state
    from limpetreel.consensus.messages import envelope


class Election:
    """Candidate and voter side of elections.

    Parameters
    ----------
    state : NodeState
        State of the instance.
    """

    def __init__(self, state: node_state.NodeState) -> None:
        self._state = state
        self._votes: set[str] = set()
        self._asked_at = float("-inf")

    def start_pre_vote(self, now: float) -> bool:
        """Ask for pre-votes; return True if already elected.

        The term does not change yet, so that an instance that returns from a
        partition cannot depose a leader that is still in contact with a quorum.
        """
        state = self._state
        state.reset_pre_vote_timer(now)
        self._asked_at = now
        if not state.is_voter():
            return False
        state.change_role(role.Role.PRE_CANDIDATE, "")
        self._votes = {state.identity}
        log = state.log
        message = pre_vote_request.PreVoteRequest(
            state.term + 1, log.last_index, log.last_term
        )
        for peer in state.peers():
            if peer.voting:
                state.send(peer, message)
        return state.has_quorum(self._votes) and self.campaign(now)

    def on_pre_vote_request(
        self,
        now: float,
        request: envelope.Envelope,
        message: pre_vote_request.PreVoteRequest,
    ) -> bool:
        """Answer a pre-vote request; reject it while there is a leader.

        Returns True if this instance has won an election that the request prompted.
        """
        state = self._state
        seconds_since_contact = now - state.last_leader_contact
        has_leader = (
            state.role is role.Role.LEADER
            or seconds_since_contact < timing.ELECTION_MIN_SECONDS
        )
        granted = (
            message.term > state.term
            and not has_leader
            and self._is_up_to_date(message.last_index, message.last_term)
            and not self._precedes(request, message)
        )
        answer = pre_vote_reply.PreVoteReply(state.term, message.term, granted)
        state.reply(request, answer)
        if has_leader or not state.has_short_timeouts:
            return False
        if granted:
            # The sender asks for votes next; a second candidate would split them.
            state.election_deadline = max(
                state.election_deadline, now + timing.RETRY_ELECTION_MIN_SECONDS
            )
            return False
        # The sender cannot win, and its message shows that it would vote.
        is_due = now - self._asked_at >= timing.MIN_PRE_VOTE_SECONDS
        return is_due and self.start_pre_vote(now)

    def on_pre_vote_reply(
        self,
        now: float,
        request: envelope.Envelope,
        message: pre_vote_reply.PreVoteReply,
    ) -> bool:
        """Count a pre-vote; return True if this instance has won the election."""
        state = self._state
        if state.role is not role.Role.PRE_CANDIDATE or not message.granted:
            return False
        if message.asked_term != state.term + 1:
            return False
        self._votes.add(request.sender)
        return state.has_quorum(self._votes) and self.campaign(now)

    def on_vote_request(
        self, now: float, request: envelope.Envelope, message: vote_request.VoteRequest
    ) -> None:
        """Answer a vote request of the current term or an earlier one."""
        state = self._state
        granted = (
            message.term == state.term
            and state.vote in ("", request.sender)
            and self._is_up_to_date(message.last_index, message.last_term)
        )
        if granted and not state.vote:
            state.enter_term(state.term, request.sender)
        if granted:
            state.reset_election_timer(now)
        state.reply(request, vote_reply.VoteReply(state.term, granted))

    def on_vote_reply(
        self, request: envelope.Envelope, message: vote_reply.VoteReply
    ) -> bool:
        """Count a vote; return True if this instance has won the election."""
        state = self._state
        if state.role is not role.Role.CANDIDATE or not message.granted:
            return False
        if message.term != state.term:
            return False
        self._votes.add(request.sender)
        return state.has_quorum(self._votes)

    def campaign(self, now: float) -> bool:
        """Start a term and ask for votes; return True if already elected."""
        state = self._state
        state.enter_term(state.term + 1, state.identity)
        state.change_role(role.Role.CANDIDATE, "")
        state.reset_election_timer(now)
        self._votes = {state.identity}
        log = state.log
        message = vote_request.VoteRequest(state.term, log.last_index, log.last_term)
        for peer in state.peers():
            if peer.voting:
                state.send(peer, message)
        return state.has_quorum(self._votes)

    def _precedes(
        self,
        request: envelope.Envelope,
        message: pre_vote_request.PreVoteRequest,
    ) -> bool:
        """Return whether this instance asks for pre-votes too and goes first.

        Instances that return together would split the votes otherwise.
        """
        state = self._state
        if state.role is not role.Role.PRE_CANDIDATE or not state.has_short_timeouts:
            return False
        log = state.log
        own = (log.last_term, log.last_index, state.identity)
        return own > (message.last_term, message.last_index, request.sender)

    def _is_up_to_date(self, last_index: int, last_term: int) -> bool:
        log = self._state.log
        return (last_term, last_index) >= (log.last_term, log.last_index)
