"""Datagrams of callers between entries and agents."""

from __future__ import annotations

import struct

import msgspec

from limpetreel.core import failure, reason
from limpetreel.wire import address, frame, mode

BODY = struct.Struct("!IHBBHQQIHIH")
MAX_HOPS = 4
"""Relays after which a packet is dropped; breaks loops between differing tables."""

MAX_DATAGRAM_BYTES = (
    frame.MAX_BYTES - frame.HEADER.size - frame.TAG_BYTES - BODY.size - 32
)
"""Largest datagram of a caller or upstream that fits into a frame.

The 32 bytes are reserved for the deadline option and a longer token.
"""
BUCKETS = 1024
_MODES = frozenset(mode.Mode)


class Packet(msgspec.Struct, frozen=True):
    """Body of FORWARD, RELAY and RETURN frames.

    Attributes
    ----------
    class_id : int
        Class that the caller addressed.
    bucket : int
        Bucket of the flow.
    hops : int
        Number of relays so far.
    mode : int
        A `mode.Mode` value.
    lease_ms : int
        Remaining serving lease of the sender in milliseconds.
    revision : int
        Table revision of the sender.
    trace_id : int
        Trace id of the packet; 0 if it is not sampled.
    caller : Address
        Address of the caller.
    entry : Address
        Address of the entry that the caller uses.
    datagram : bytes
        The caller's datagram, unchanged.
    """

    class_id: int
    bucket: int
    hops: int
    mode: int
    lease_ms: int
    revision: int
    trace_id: int
    caller: address.Address
    entry: address.Address
    datagram: bytes


def encode(packet: Packet) -> bytes:
    """Return the frame body of a packet."""
    head = BODY.pack(
        packet.class_id,
        packet.bucket,
        packet.hops,
        packet.mode,
        packet.lease_ms,
        packet.revision,
        packet.trace_id,
        packet.caller.ip,
        packet.caller.port,
        packet.entry.ip,
        packet.entry.port,
    )
    return head + packet.datagram


def decode(body: bytes) -> Packet | failure.Failure:
    """Return the packet of a frame body."""
    if len(body) < BODY.size:
        return failure.Failure(reason.Reason.TRUNCATED, "packet.decode")
    head = BODY.unpack_from(body)
    class_id, bucket, hops, mode_value, lease_ms, revision, trace_id = head[:7]
    if bucket >= BUCKETS or mode_value not in _MODES:
        return failure.Failure(reason.Reason.MALFORMED, "packet.decode")
    return Packet(
        class_id=class_id,
        bucket=bucket,
        hops=hops,
        mode=mode_value,
        lease_ms=lease_ms,
        revision=revision,
        trace_id=trace_id,
        caller=address.Address(head[7], head[8]),
        entry=address.Address(head[9], head[10]),
        datagram=body[BODY.size :],
    )
