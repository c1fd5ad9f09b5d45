"""Encoding of the messages that entries and agents exchange with control."""

from __future__ import annotations

import msgspec

from limpetreel.cluster.messages import alive, hello, report, update
from limpetreel.core import failure, reason

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(update.Update)


def encode(message: hello.Hello | report.Report | alive.Alive) -> bytes:
    """Return the bytes of a message of a node."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> update.Update | failure.Failure:
    """Return the message of control in the bytes; nodes accept updates only."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "update.decode", detail=str(exc)
        )
