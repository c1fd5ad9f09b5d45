"""Checksummed, length-prefixed records in a file.

The checksum of a record covers its payload and is seeded with the file and the
position, so that the bytes of a record are not valid at another place, such as
inside the payload of another record.
"""

from __future__ import annotations

import struct

import xxhash

_HEADER = struct.Struct("!IQ")
"""Length of the payload and its checksum."""


def encode(payload: bytes, name: str, offset: int) -> bytes:
    """Return a record.

    Parameters
    ----------
    payload : bytes
        Content of the record; not empty, since zeros would look like a record.
    name : str
        The file.
    offset : int
        Where the record starts in the file.
    """
    return _HEADER.pack(len(payload), _checksum(payload, name, offset)) + payload


def decode(data: bytes, name: str, offset: int) -> bytes | None:
    """Return the payload of the record at an offset, None if there is none."""
    start = offset + _HEADER.size
    if start > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if not length or len(payload) != length:
        return None
    if _checksum(payload, name, offset) != checksum:
        return None
    return payload


def decode_all(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Return the payloads of a file and where the last valid record ends."""
    payloads = []
    offset = 0
    while (payload := decode(data, name, offset)) is not None:
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return payloads, offset


def has_record_after(data: bytes, name: str, offset: int) -> bool:
    """Return whether a valid record starts anywhere after an offset."""
    last = len(data) - _HEADER.size
    return any(
        decode(data, name, start) is not None for start in range(offset + 1, last)
    )


def _checksum(payload: bytes, name: str, offset: int) -> int:
    return xxhash.xxh64_intdigest(
        payload, xxhash.xxh64_intdigest(name.encode(), offset)
    )
