"""The records that make up a table."""

from __future__ import annotations

import msgspec
import xxhash

from limpetreel.catalog import class_record, member_record, zone_record

Record = class_record.ClassRecord | zone_record.ZoneRecord | member_record.MemberRecord

_ENCODER = msgspec.msgpack.Encoder()


def record_hash(record: Record) -> int:
    """Return the 64-bit hash of a record; the xor over all is the table digest."""
    return xxhash.xxh64_intdigest(_ENCODER.encode(record))
