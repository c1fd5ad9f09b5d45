"""Acknowledgement of the copy of a bucket."""

from __future__ import annotations

import msgspec


class DirectoryAck(msgspec.Struct, frozen=True, tag="directory_ack"):
    """Sent by the backup when it holds the complete copy of a bucket.

    Attributes
    ----------
    class_id : int
        Number of the class.
    bucket : int
        Bucket of the flow.
    epoch : int
        Epoch of the copy.
    """

    class_id: int
    bucket: int
    epoch: int
