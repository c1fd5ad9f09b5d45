"""State of a bucket at one agent."""

from __future__ import annotations

from limpetreel.flows import bucket_parts, bucket_role

NOBODY = (0, 0)
MAX_SEEN = 16
"""Bounded so that a claim with the largest copied answer fits into one message."""


class BucketState:
    """Epochs and role of one bucket.

    Attributes
    ----------
    epoch : int
        Highest epoch known; 0 if none.
    holder, deputy : tuple of int
        Node id and incarnation of the two agents of that epoch.
    is_serving : bool
        True if this agent routes packets as holder. A holder that renews its epoch
        for a new deputy goes on serving meanwhile.
    is_open : bool
        True if this agent is holder and its deputy has the copy.
    copy_epoch : int
        Epoch at which this agent had every granted claim; 0 if none.
    seen : set of int
        Epochs after `copy_epoch` of which this agent was told.
    void : set of int
        Epochs at which no claim can have been granted, as this agent knows because
        it was holder or deputy and never complete.
    floor : int
        Highest epoch that was left out of `seen` for its bound.
    """

    def __init__(self) -> None:
        self.role = bucket_role.BucketRole.NONE
        self.epoch = 0
        self.holder = NOBODY
        self.deputy = NOBODY
        self.is_serving = False
        self.is_open = False
        self.copy_epoch = 0
        self.seen: set[int] = set()
        self.void: set[int] = set()
        self.floor = 0
        self.doubt_until = float("-inf")
        self.kept_until = float("inf")
        self.next_send = 0.0
        self.joins: dict[tuple[int, int], bucket_parts.PartJoin] = {}

    def enter(
        self,
        epoch: int,
        holder: tuple[int, int],
        deputy: tuple[int, int],
        role: bucket_role.BucketRole,
    ) -> None:
        """Go to a higher epoch."""
        taking = self.role is bucket_role.BucketRole.TAKING_OVER
        unsynced = self.role is bucket_role.BucketRole.DEPUTY
        if (taking or unsynced) and self.copy_epoch != self.epoch:
            self.void.add(self.epoch)
        self.epoch, self.holder, self.deputy = epoch, holder, deputy
        self.role = role
        self.is_open = False
        self.joins = {}
        self.seen.add(epoch)
        while len(self.seen) > MAX_SEEN:
            oldest = min(self.seen)
            self.seen.discard(oldest)
            self.floor = max(self.floor, oldest)
        self.void &= self.seen

    def complete(self, doubt_until: float) -> None:
        """Note that this agent has every claim granted before the current epoch."""
        self.copy_epoch = self.epoch
        self.seen = {self.epoch}
        self.void = set()
        self.floor = 0
        self.doubt_until = doubt_until
        self.kept_until = float("inf")
        self.joins = {}

    def lose_copy(self) -> None:
        """Forget that this agent had a copy."""
        self.copy_epoch = 0
        self.kept_until = float("inf")
