"""Encoding of the records of a delta."""

from __future__ import annotations

import zlib

import msgspec

from limpetreel.catalog import record
from limpetreel.core import failure, reason

_LEVEL = 6
_MAX_BYTES = 16 * 1024 * 1024
"""Limit after decompression; over ten times the table of the design size."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[tuple[record.Record, ...]] = msgspec.msgpack.Decoder(
    tuple[record.Record, ...]
)


def encode(records: list[record.Record]) -> bytes:
    """Return the compressed records, about a third of the uncompressed size."""
    return zlib.compress(_ENCODER.encode(records), _LEVEL)


def decode(body: bytes) -> tuple[record.Record, ...] | failure.Failure:
    """Return the records of a body."""
    try:
        data = zlib.decompressobj().decompress(body, _MAX_BYTES)
        return _DECODER.decode(data)
    except (zlib.error, msgspec.DecodeError, RecursionError) as exc:
        return failure.Failure(reason.Reason.MALFORMED, "delta.decode", detail=str(exc))
