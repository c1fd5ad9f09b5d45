"""A caller's datagram on its way between entry and agent."""

from __future__ import annotations

import struct

import msgspec

from limpetreel.core import failure, reason
from limpetreel.wire import address

BODY = struct.Struct("!IHBBHQQIHIH")
MAX_HOPS = 4
"""Relays after which a packet is dropped, so that uneven tables cannot loop it."""


class Packet(msgspec.Struct, frozen=True):
    """Body of FORWARD, RELAY and RETURN frames.

    Attributes
    ----------
    class_id : int
        Class that the caller addressed.
    bucket : int
        Bucket of the flow.
    hops : int
        Relays so far.
    mode : int
        A `mode.Mode` value.
    lease_ms : int
        Remaining serving lease of the sender in milliseconds.
    revision : int
        Table revision of the sender.
    trace_id : int
        Trace of the packet; 0 if it is not sampled.
    caller : Address
        Caller address.
    entry : Address
        Entry through which the packet came.
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
    class_id, bucket, hops, mode, lease_ms, revision, trace_id = head[:7]
    return Packet(
        class_id=class_id,
        bucket=bucket,
        hops=hops,
        mode=mode,
        lease_ms=lease_ms,
        revision=revision,
        trace_id=trace_id,
        caller=address.Address(head[7], head[8]),
        entry=address.Address(head[9], head[10]),
        datagram=body[BODY.size :],
    )
