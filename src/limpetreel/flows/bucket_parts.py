"""Splitting of bucket states into message-sized parts, and their reassembly."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from limpetreel.messages import bucket_part

MAX_BODY_BYTES = 1200
_ENVELOPE_BYTES = 100
_MAX_PARTS_BYTES = MAX_BODY_BYTES - _ENVELOPE_BYTES
_ENCODER = msgspec.msgpack.Encoder()


def split(state: bucket_part.BucketPart) -> list[bucket_part.BucketPart]:
    """Split a state into parts that each fit into one message."""
    header = msgspec.structs.replace(state, flows=(), claims=())
    max_chunk_bytes = _MAX_PARTS_BYTES - len(_ENCODER.encode(header)) - 16
    chunks: list[tuple[list, list]] = [([], [])]
    used = 0
    elements = [(0, f) for f in state.flows] + [(1, c) for c in state.claims]
    for kind, element in elements:
        size = len(_ENCODER.encode(element))
        if used + size > max_chunk_bytes and used:
            chunks.append(([], []))
            used = 0
        chunks[-1][kind].append(element)
        used += size
    # Ages are excluded, so that parts sent at different times can be combined.
    flows_without_age = [(f.flow, 0) for f in state.flows]
    claims_without_age = [msgspec.structs.replace(c, age_ms=0) for c in state.claims]
    content = (
        state.copy_epoch,
        state.known_epochs,
        state.void_epochs,
        flows_without_age,
        claims_without_age,
    )
    snapshot = xxhash.xxh64_intdigest(_ENCODER.encode(content))
    return [
        msgspec.structs.replace(
            header,
            snapshot=snapshot,
            part=i,
            parts=len(chunks),
            flows=tuple(flows),
            claims=tuple(claims),
        )
        for i, (flows, claims) in enumerate(chunks)
    ]


def pack(
    parts: Iterable[bucket_part.BucketPart],
) -> list[tuple[bucket_part.BucketPart, ...]]:
    """Group parts so that each group fits into one message."""
    groups: list[list[bucket_part.BucketPart]] = []
    used = 0
    for part in parts:
        size = len(_ENCODER.encode(part))
        if not groups or used + size > _MAX_PARTS_BYTES:
            groups.append([])
            used = 0
        groups[-1].append(part)
        used += size
    return [tuple(g) for g in groups]


class PartAssembler:
    """Reassembles one sender's state of one bucket from its parts.

    Attributes
    ----------
    complete_parts : sequence of BucketPart or None
        All parts once they have arrived; None before.
    """

    def __init__(self) -> None:
        self._snapshot = 0
        self._parts: dict[int, bucket_part.BucketPart] = {}
        self.complete_parts: Sequence[bucket_part.BucketPart] | None = None

    def add(self, part: bucket_part.BucketPart) -> None:
        """Add a part; a part of a different snapshot discards the earlier parts."""
        if self.complete_parts is not None:
            return
        if part.snapshot != self._snapshot:
            self._snapshot = part.snapshot
            self._parts = {}
        self._parts[part.part] = part
        if len(self._parts) == part.parts:
            self.complete_parts = tuple(self._parts.values())
