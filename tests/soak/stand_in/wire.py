"""Packets of the platform (PROTOCOL.md, "Packets")."""

from __future__ import annotations

import hashlib
import socket
import struct

SYN, ACK, FIN, RST, BOUNCED = 128, 2, 32, 16, 8
HEADER = struct.Struct(">BBHI4sHH4sIII")
MAX_DATA = 1200
MASK = 0xFFFFFFFF
KEY = b"review"


class Packet:
    """One packet; addresses are text, numbers are integers."""

    __slots__ = (
        "ack",
        "data",
        "dport",
        "dst",
        "echo",
        "flags",
        "is_sum_right",
        "pad",
        "seq",
        "sport",
        "src",
        "sum",
    )

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & MASK, ack & MASK, data
        self.pad = self.echo = 0
        self.sum = 0
        self.is_sum_right = True

    def key(self):
        """Return the flow of a client's packet: its addresses and ports."""
        return (self.src, self.sport, self.dst, self.dport)

    def reply_key(self):
        """Return the flow for a target's packet."""
        return (self.dst, self.dport, self.src, self.sport)


def _sum(flags, size, src, sport, dst, dport, seq, ack, data):
    text = struct.pack(
        ">BH4sHH4sII", flags & ~BOUNCED & 0xFF, size, src, dport, sport, dst, seq, ack
    )
    digest = hashlib.blake2s(text + data, key=KEY, digest_size=4).digest()
    return int.from_bytes(digest, "big")


def encode(p):
    """Return the bytes of a packet with its sum."""
    src, dst = socket.inet_aton(p.src), socket.inet_aton(p.dst)
    total = _sum(p.flags, len(p.data), src, p.sport, dst, p.dport, p.seq, p.ack, p.data)
    return (
        HEADER.pack(
            p.flags, 0, len(p.data), total, src, p.dport, p.sport, dst, p.seq, p.ack, 0
        )
        + p.data
    )


def decode(raw):
    """Return the packet, None if the bytes are not one."""
    if len(raw) < HEADER.size:
        return None
    flags, pad, size, total, src, dport, sport, dst, seq, ack, echo = (
        HEADER.unpack_from(raw)
    )
    data = raw[HEADER.size :]
    if size != len(data) or size > MAX_DATA:
        return None
    p = Packet(
        socket.inet_ntoa(src),
        sport,
        socket.inet_ntoa(dst),
        dport,
        flags,
        seq,
        ack,
        data,
    )
    p.pad, p.echo, p.sum = pad, echo, total
    p.is_sum_right = total == _sum(flags, size, src, sport, dst, dport, seq, ack, data)
    return p


def bounced(raw):
    """Return a packet as a target returns it: BOUNCED set, pad 0."""
    return bytes((raw[0] | BOUNCED, 0)) + raw[2:]
