"""Encoding of the messages between entries and agents."""

from __future__ import annotations

import msgspec

from limpetreel.core import failure, reason
from limpetreel.streams.messages import (
    carry,
    holdings,
    locate,
    not_owned,
    offer,
    owned,
    probe,
    search,
    verdict,
)

Message = (
    carry.Carry
    | offer.Offer
    | verdict.Verdict
    | locate.Locate
    | owned.Owned
    | not_owned.NotOwned
    | search.Search
    | holdings.Holdings
    | probe.Probe
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message | failure.Failure:
    """Return the message in a datagram."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "stream.decode", detail=str(exc)
        )
