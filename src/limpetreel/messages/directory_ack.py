"""Acknowledgement of a copy."""

from __future__ import annotations

import msgspec


class DirectoryAck(msgspec.Struct, frozen=True, tag="directory_ack"):
    """The backup holds the whole copy of a bucket.

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
