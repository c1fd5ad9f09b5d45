"""Heartbeat rounds of a leader and the lease that they give."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.consensus import membership, timing

if TYPE_CHECKING:
    from limpetreel.consensus import member


class QuorumRounds:
    """Rounds of one leader in one term.

    A lease ends 2 s after the start of the newest round that a quorum answered,
    never counted from the answers. A voter answers only in the leader's own term, so
    when it answered, it had not yet voted for a later leader. Any later leader has
    the vote of at least one voter of that quorum, so each entry that it accepts is
    accepted after the round started, and the lease ends at most 2 s after that. A
    new leader starts without rounds: what the old one granted runs out by itself.

    Parameters
    ----------
    identity : str
        Identity of the leader.
    """

    def __init__(self, identity: str) -> None:
        self._identity = identity
        self._starts: dict[int, float] = {}
        self._answered: dict[str, int] = {}
        self.current = 0
        self.confirmed = 0
        self.confirmed_start = float("-inf")

    def begin(self, now: float) -> None:
        """Start a round."""
        self.current += 1
        self._starts[self.current] = now
        self._answered[self._identity] = self.current

    def started_at(self) -> float:
        """Return when the newest round started."""
        return self._starts.get(self.current, float("-inf"))

    def answer(self, identity: str, number: int) -> None:
        """Note that a peer answered a round."""
        if number <= self.current:
            self._answered[identity] = max(self._answered.get(identity, 0), number)

    def settle(self, members: tuple[member.Member, ...]) -> None:
        """Find the newest round that a quorum answered."""
        reached = membership.quorum_value(members, self._answered)
        if reached <= self.confirmed:
            return
        self.confirmed = reached
        self.confirmed_start = self._starts[reached]
        for number in [n for n in self._starts if n < reached]:
            del self._starts[number]

    def lease_end(self) -> float:
        """Return when the lease ends."""
        return self.confirmed_start + timing.LEASE_SECONDS
