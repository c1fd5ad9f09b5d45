"""State of a bucket at one agent."""

from __future__ import annotations

from limpetreel.flows import bucket_parts, bucket_role

NO_PEER = (0, 0)
MAX_KNOWN_EPOCHS = 16
"""Bounded so that a claim with the largest copied answer fits into one message."""


class BucketState:
    """Epochs, role and copy of one bucket.

    Attributes
    ----------
    epoch : int
        Highest epoch known; 0 if none.
    holder, backup : tuple of int
        Node id and incarnation of the agents with these roles in that epoch.
    is_serving : bool
        True if this agent routes packets as holder. A holder that starts a new epoch
        for a new backup continues to serve during the takeover.
    is_replicated : bool
        True if this agent is holder and its backup, if there is one, has the copy.
    copy_epoch : int
        Epoch at which this agent held every granted claim; 0 if none.
    known_epochs : set of int
        Epochs since `copy_epoch` that this agent has learnt of.
    void_epochs : set of int
        Epochs in which no claim can have been granted, because this agent was
        holder or backup and never had a complete copy.
    highest_dropped_epoch : int
        Highest epoch dropped from `known_epochs` by `MAX_KNOWN_EPOCHS`.
    incomplete_until : float
        Time until which claims granted earlier may be missing in this copy.
    keep_copy_until : float
        Time at which a copy that was handed over is discarded.
    next_send : float
        Time of the next transmission to the peers of a takeover.
    assemblers : dict
        Partial states of other agents, by (node id, incarnation).
    """

    def __init__(self) -> None:
        self.role = bucket_role.BucketRole.NONE
        self.epoch = 0
        self.holder = NO_PEER
        self.backup = NO_PEER
        self.is_serving = False
        self.is_replicated = False
        self.copy_epoch = 0
        self.known_epochs: set[int] = set()
        self.void_epochs: set[int] = set()
        self.highest_dropped_epoch = 0
        self.incomplete_until = float("-inf")
        self.keep_copy_until = float("inf")
        self.next_send = 0.0
        self.assemblers: dict[tuple[int, int], bucket_parts.PartAssembler] = {}

    def enter_epoch(
        self,
        epoch: int,
        holder: tuple[int, int],
        backup: tuple[int, int],
        role: bucket_role.BucketRole,
    ) -> None:
        """Enter an epoch, or change the role within the current one."""
        is_taking_over = self.role is bucket_role.BucketRole.TAKING_OVER
        is_backup = self.role is bucket_role.BucketRole.BACKUP
        if (is_taking_over or is_backup) and self.copy_epoch != self.epoch:
            self.void_epochs.add(self.epoch)
        self.epoch, self.holder, self.backup = epoch, holder, backup
        self.role = role
        self.is_replicated = False
        self.assemblers = {}
        self.known_epochs.add(epoch)
        while len(self.known_epochs) > MAX_KNOWN_EPOCHS:
            oldest = min(self.known_epochs)
            self.known_epochs.discard(oldest)
            self.highest_dropped_epoch = max(self.highest_dropped_epoch, oldest)
        self.void_epochs &= self.known_epochs

    def mark_complete(self, incomplete_until: float) -> None:
        """Mark the copy as holding every claim granted before the current epoch."""
        self.copy_epoch = self.epoch
        self.known_epochs = {self.epoch}
        self.void_epochs = set()
        self.highest_dropped_epoch = 0
        self.incomplete_until = incomplete_until
        self.keep_copy_until = float("inf")
        self.assemblers = {}

    def discard_copy(self) -> None:
        """Mark the copy as no longer valid."""
        self.copy_epoch = 0
        self.keep_copy_until = float("inf")
