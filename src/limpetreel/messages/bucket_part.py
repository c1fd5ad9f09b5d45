"""One part of the state of a bucket."""

from __future__ import annotations

import msgspec

from limpetreel.messages import held_flow
from limpetreel.requests import claim


class BucketPart(msgspec.Struct, frozen=True, array_like=True):
    """Part of what one agent knows about a bucket.

    Attributes
    ----------
    bucket : int
        Number of the bucket.
    snapshot : int
        Hash of the whole content; only parts with equal values belong together.
    part : int
        Number of the part, from 0.
    parts : int
        Number of parts.
    copy_epoch : int
        Epoch at which the sender held all claims; 0 if never.
    seen : tuple[int, ...]
        Epochs of which the sender was told.
    void : tuple[int, ...]
        Epochs at which, as holder or backup knows, no claim was granted.
    floor : int
        Highest epoch left out of `seen` for its bound; 0 if none.
    doubt_ms : int
        Rest of the in-doubt window.
    first_start : bool
        True if the sender's node has certainly never run before.
    flows : tuple[held_flow.HeldFlow, ...]
        Flows that the sender owns.
    claims : tuple[claim.Claim, ...]
        Claims that the sender keeps.
    """

    bucket: int
    snapshot: int
    part: int
    parts: int
    copy_epoch: int
    seen: tuple[int, ...]
    void: tuple[int, ...]
    floor: int
    doubt_ms: int
    first_start: bool
    flows: tuple[held_flow.HeldFlow, ...] = ()
    claims: tuple[claim.Claim, ...] = ()
