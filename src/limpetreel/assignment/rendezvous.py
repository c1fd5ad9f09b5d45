"""Weighted rendezvous hashing in integer arithmetic."""

from __future__ import annotations

import math
import struct

import xxhash

_KEY = struct.Struct("!IHQ")
_TABLE_BITS = 12
_FRACTION_BITS = 20
_SCALE = 1 << 40


def _build_table() -> tuple[int, ...]:
    """Return -ln(i / 4096) scaled to integers, for i from 1 to 4096."""
    size = 1 << _TABLE_BITS
    return tuple(round(-math.log(max(i, 1) / size) * _SCALE) for i in range(size + 1))


_MINUS_LOG = _build_table()


def cost(class_id: int, bucket: int, node_id: int, share: int) -> int:
    """Return the cost of a member for a bucket; the lowest cost wins.

    The cost is an exponential variate divided by the share, so each member wins
    buckets in proportion to its share, and a change of one member moves only the
    buckets that it wins or loses. The logarithm is interpolated from an integer
    table, since floating-point logarithms can differ in the last bit between
    machines.

    Parameters
    ----------
    class_id : int
        Class of the bucket.
    bucket : int
        Number of the bucket.
    node_id : int
        Node id of the member.
    share : int
        Share of the member, at least 1.
    """
    digest = xxhash.xxh64_intdigest(_KEY.pack(class_id, bucket, node_id))
    index = digest >> (64 - _TABLE_BITS)
    low, high = _MINUS_LOG[index], _MINUS_LOG[index + 1]
    fraction = (digest >> (64 - _TABLE_BITS - _FRACTION_BITS)) & _FRACTION_MASK
    variate = low - (((low - high) * fraction) >> _FRACTION_BITS)
    return variate // share


_FRACTION_MASK = (1 << _FRACTION_BITS) - 1
