"""Packet header of the platform."""

from __future__ import annotations

import struct

from limpetreel.core import failure, reason
from limpetreel.streams import segment, segment_codec

HEADER_BYTES = 32
MAX_DATA_BYTES = 1200
"""Limit of the platform's packet format."""

_HEADER = struct.Struct(">BBHI4s2s2s4sIII")
"""flags, pad, len, sum, src, dport, sport, dst, seq, ack, echo."""

_SYN = 128
_ACK = 2
_FIN = 32
_RST = 16
_BOUNCED = 8
_KNOWN_FLAGS = _SYN | _ACK | _FIN | _RST | _BOUNCED


class SegmentFormat(segment_codec.SegmentCodec):
    """Codec of packets between callers and upstreams."""

    max_data_bytes = MAX_DATA_BYTES

    def from_caller(self, data: bytes) -> segment.Segment | failure.Failure:
        """Return a packet that a caller sent, or that an upstream returned."""
        return _decode(data, is_from_caller=True)

    def from_upstream(self, data: bytes) -> segment.Segment | failure.Failure:
        """Return a packet that an upstream sent."""
        decoded = _decode(data, is_from_caller=False)
        if isinstance(decoded, segment.Segment) and decoded.is_returned:
            return _decode(data, is_from_caller=True)
        return decoded

    def reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a reset; it carries no data and no checksum."""
        return _HEADER.pack(
            _RST, 0, 0, 0, flow[6:10], flow[4:6], flow[10:12], flow[0:4], sequence, 0, 0
        )


def _decode(data: bytes, is_from_caller: bool) -> segment.Segment | failure.Failure:
    if len(data) < HEADER_BYTES:
        return failure.Failure(reason.Reason.TRUNCATED, "segment.decode")
    flags, _, size, _, src, dport, sport, dst, seq, ack, _ = _HEADER.unpack_from(data)
    if size > MAX_DATA_BYTES:
        return failure.Failure(reason.Reason.OVERSIZED, "segment.decode")
    if size != len(data) - HEADER_BYTES or flags & ~_KNOWN_FLAGS:
        return failure.Failure(reason.Reason.MALFORMED, "segment.decode")
    if is_from_caller:
        flow = src + sport + dst + dport
    else:
        flow = dst + dport + src + sport
    opens = flags & (_SYN | _ACK)
    return segment.Segment(
        flow,
        opens == _SYN,
        opens == _SYN | _ACK,
        bool(flags & _ACK),
        bool(flags & _FIN),
        bool(flags & _RST),
        bool(flags & _BOUNCED),
        seq,
        ack,
        size,
        data,
    )
