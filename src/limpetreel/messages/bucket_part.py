"""One part of the state of a bucket."""

from __future__ import annotations

import msgspec

from limpetreel.messages import held_flow
from limpetreel.requests import claim


class BucketPart(msgspec.Struct, frozen=True, array_like=True):
    """One part of the state that an agent holds for a bucket.

    Attributes
    ----------
    bucket : int
        Number of the bucket.
    snapshot : int
        Hash of the complete state; parts with the same value belong together.
    part : int
        Number of the part, from 0.
    parts : int
        Number of parts.
    copy_epoch : int
        Epoch at which the sender held all claims; 0 if never.
    known_epochs : tuple[int, ...]
        Epochs that the sender knows of.
    void_epochs : tuple[int, ...]
        Epochs at which no claim was granted, as known to their holder or backup.
    highest_dropped_epoch : int
        Highest epoch omitted from `known_epochs`, whose size is bounded; 0 if none.
    incomplete_ms : int
        Remaining time in which the claims may be incomplete, in milliseconds.
    first_start : bool
        True if it is certain that the sender's node has never run before.
    flows : tuple[held_flow.HeldFlow, ...]
        Flows that the sender owns.
    claims : tuple[claim.Claim, ...]
        Claims that the sender has recorded.
    """

    bucket: int
    snapshot: int
    part: int
    parts: int
    copy_epoch: int
    known_epochs: tuple[int, ...]
    void_epochs: tuple[int, ...]
    highest_dropped_epoch: int
    incomplete_ms: int
    first_start: bool
    flows: tuple[held_flow.HeldFlow, ...] = ()
    claims: tuple[claim.Claim, ...] = ()
