"""Splitting of bucket states over messages and joining of the parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from limpetreel.messages import bucket_part

MAX_BODY_BYTES = 1200
_ENVELOPE_BYTES = 100
_ROOM = MAX_BODY_BYTES - _ENVELOPE_BYTES
_ENCODER = msgspec.msgpack.Encoder()


def split(whole: bucket_part.BucketPart) -> list[bucket_part.BucketPart]:
    """Return parts of a state that each fit into one message."""
    head = msgspec.structs.replace(whole, flows=(), claims=())
    room = _ROOM - len(_ENCODER.encode(head)) - 16
    chunks: list[tuple[list, list]] = [([], [])]
    used = 0
    items = [(0, f) for f in whole.flows] + [(1, c) for c in whole.claims]
    for kind, item in items:
        size = len(_ENCODER.encode(item))
        if used + size > room and used:
            chunks.append(([], []))
            used = 0
        chunks[-1][kind].append(item)
        used += size
    # Ages are left out, so that parts sent at different times still join.
    names = [(f.flow, 0) for f in whole.flows]
    claims = [msgspec.structs.replace(c, age_ms=0) for c in whole.claims]
    content = (whole.copy_epoch, whole.seen, whole.void, names, claims)
    snapshot = xxhash.xxh64_intdigest(_ENCODER.encode(content))
    return [
        msgspec.structs.replace(
            head,
            snapshot=snapshot,
            part=i,
            parts=len(chunks),
            flows=tuple(flows),
            claims=tuple(claims_of),
        )
        for i, (flows, claims_of) in enumerate(chunks)
    ]


def pack(
    parts: Iterable[bucket_part.BucketPart],
) -> list[tuple[bucket_part.BucketPart, ...]]:
    """Return groups of parts that each fit into one message."""
    groups: list[list[bucket_part.BucketPart]] = []
    used = 0
    for part in parts:
        size = len(_ENCODER.encode(part))
        if not groups or used + size > _ROOM:
            groups.append([])
            used = 0
        groups[-1].append(part)
        used += size
    return [tuple(g) for g in groups]


class PartJoin:
    """Collects the parts of one sender's state of one bucket."""

    def __init__(self) -> None:
        self._snapshot = 0
        self._parts: dict[int, bucket_part.BucketPart] = {}
        self.whole: Sequence[bucket_part.BucketPart] | None = None

    def add(self, part: bucket_part.BucketPart) -> None:
        """Take a part; parts of another content start anew."""
        if self.whole is not None:
            return
        if part.snapshot != self._snapshot:
            self._snapshot = part.snapshot
            self._parts = {}
        self._parts[part.part] = part
        if len(self._parts) == part.parts:
            self.whole = tuple(self._parts.values())
