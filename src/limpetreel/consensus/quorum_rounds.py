"""Heartbeat rounds of a leader and the resulting lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.consensus import membership, timing

if TYPE_CHECKING:
    from limpetreel.consensus import member


class QuorumRounds:
    """Heartbeat rounds of one leader in one term.

    A lease ends 2 s after the start of the latest round that a quorum answered; the
    time of the answers does not count. A voter answers only in the leader's term, so
    when it answered, it had not yet voted for a later leader. Any later leader has
    the vote of at least one voter of that quorum, so it commits entries only after
    the round started, and the lease ends at most 2 s after that. A new leader starts
    without rounds; leases that the old leader granted expire.

    Parameters
    ----------
    identity : str
        Identity of the leader.
    """

    def __init__(self, identity: str) -> None:
        self._identity = identity
        self._starts: dict[int, float] = {}
        self._last_replied: dict[str, int] = {}
        self.current = 0
        self.confirmed = 0
        self.confirmed_start = float("-inf")

    def start(self, now: float) -> None:
        """Start the next round."""
        self.current += 1
        self._starts[self.current] = now
        self._last_replied[self._identity] = self.current

    def started_at(self) -> float:
        """Return when the current round started."""
        return self._starts.get(self.current, float("-inf"))

    def record_reply(self, identity: str, round_number: int) -> None:
        """Record that a peer answered a round."""
        if round_number <= self.current:
            self._last_replied[identity] = max(
                self._last_replied.get(identity, 0), round_number
            )

    def update_confirmed(self, members: tuple[member.Member, ...]) -> None:
        """Update the latest round that a quorum answered."""
        quorum_round = membership.quorum_value(members, self._last_replied)
        if quorum_round <= self.confirmed:
            return
        self.confirmed = quorum_round
        self.confirmed_start = self._starts[quorum_round]
        for round_number in [n for n in self._starts if n < quorum_round]:
            del self._starts[round_number]

    def lease_end(self) -> float:
        """Return when the lease ends."""
        return self.confirmed_start + timing.LEASE_SECONDS
