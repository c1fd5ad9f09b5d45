"""State of buckets, sent to their new holder."""

from __future__ import annotations

import msgspec

from limpetreel.messages import bucket_part


class HandoverReply(msgspec.Struct, frozen=True, tag="handover_reply"):
    """Answers a `HandoverRequest`; several replies may answer one request.

    Attributes
    ----------
    class_id : int
        Number of the class.
    epoch : int
        Epoch of the request.
    items : tuple[bucket_part.BucketPart, ...]
        Parts of the state, of one or more buckets.
    """

    class_id: int
    epoch: int
    items: tuple[bucket_part.BucketPart, ...]
