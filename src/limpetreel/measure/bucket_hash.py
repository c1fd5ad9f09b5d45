"""Mapping of connections to buckets."""

from __future__ import annotations

import struct

import xxhash

from limpetreel.assignment import class_assignment

_KEY = struct.Struct("!IHI")


def bucket_of(class_id: int, connection: int) -> int:
    """Return the bucket of a connection.

    The number of the connection stands for the caller's address and port.
    """
    address, port = divmod(connection, 4)
    digest = xxhash.xxh64_intdigest(_KEY.pack(address, port, class_id))
    return digest % class_assignment.BUCKETS_PER_CLASS
