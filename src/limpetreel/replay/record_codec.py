"""Framing of the records of a decision log."""

from __future__ import annotations

import struct
import zlib
from typing import TYPE_CHECKING

import msgspec
import xxhash

from limpetreel.core import failure, reason
from limpetreel.replay import checkpoint, event_kind, header, recorded_event

if TYPE_CHECKING:
    from collections.abc import Iterator

MAGIC = b"LIMPET-LOG-1\n"
MAX_RECORD_BYTES = 256 * 1024 * 1024
_RECORD_HEADER = struct.Struct("!II")

Record = (
    header.Header
    | checkpoint.Checkpoint
    | event_kind.EventKind
    | recorded_event.RecordedEvent
)

_ENCODER = msgspec.msgpack.Encoder()
_MAP_DECODER: msgspec.msgpack.Decoder[
    header.Header | checkpoint.Checkpoint | event_kind.EventKind
] = msgspec.msgpack.Decoder(
    header.Header | checkpoint.Checkpoint | event_kind.EventKind
)
_EVENT_DECODER = msgspec.msgpack.Decoder(recorded_event.RecordedEvent)
_FIXARRAY_PREFIX = 0x90


def encode(record: Record) -> bytes:
    """Return a record with its length and checksum."""
    payload = _ENCODER.encode(record)
    return _RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def digest(actions: list[msgspec.Struct]) -> int:
    """Return the digest of the actions of one event."""
    if not actions:
        return 0
    return xxhash.xxh64_intdigest(_ENCODER.encode(actions))


def decode(data: bytes) -> Iterator[Record | failure.Failure]:
    """Yield the records of a file, then a failure if it is truncated or damaged.

    Parameters
    ----------
    data : bytes
        Content of the file.
    """
    if not data.startswith(MAGIC):
        yield _failure(reason.Reason.WRONG_VERSION, 0, "not a decision log")
        return
    offset = len(MAGIC)
    while offset < len(data):
        end = offset + _RECORD_HEADER.size
        if end > len(data):
            yield _failure(reason.Reason.TRUNCATED, offset, "")
            return
        size, checksum = _RECORD_HEADER.unpack_from(data, offset)
        payload = data[end : end + size]
        if len(payload) < size:
            yield _failure(reason.Reason.TRUNCATED, offset, "")
            return
        if zlib.crc32(payload) != checksum:
            yield _failure(reason.Reason.CORRUPT, offset, "wrong checksum")
            return
        record = _decode_payload(payload, offset)
        yield record
        if isinstance(record, failure.Failure):
            return
        offset = end + size


def _decode_payload(payload: bytes, offset: int) -> Record | failure.Failure:
    try:
        if payload and payload[0] & 0xF0 == _FIXARRAY_PREFIX:
            return _EVENT_DECODER.decode(payload)
        return _MAP_DECODER.decode(payload)
    except (msgspec.DecodeError, RecursionError) as exc:
        return _failure(reason.Reason.CORRUPT, offset, str(exc))


def _failure(reason: reason.Reason, offset: int, detail: str) -> failure.Failure:
    return failure.Failure(reason, "replay.read", f"byte {offset}", detail)
