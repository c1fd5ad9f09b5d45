"""Copy of a bucket for its backup."""

from __future__ import annotations

import msgspec

from limpetreel.messages import bucket_part


class DirectoryUpdate(msgspec.Struct, frozen=True, tag="directory_update"):
    """Sent by a holder until its backup has acknowledged the complete copy.

    Attributes
    ----------
    class_id : int
        Number of the class.
    epoch : int
        Epoch of the holder.
    items : tuple[bucket_part.BucketPart, ...]
        Parts of the copy, of one or more buckets.
    """

    class_id: int
    epoch: int
    items: tuple[bucket_part.BucketPart, ...]
