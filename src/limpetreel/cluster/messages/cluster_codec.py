"""Encoding of the messages of control instances."""

from __future__ import annotations

import msgspec

from limpetreel.cluster.messages import alive, consensus_message, hello, report, update
from limpetreel.core import failure, reason

Message = (
    hello.Hello
    | report.Report
    | alive.Alive
    | update.Update
    | consensus_message.ConsensusMessage
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message | failure.Failure:
    """Return the message in the bytes."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "cluster.decode", detail=str(exc)
        )
