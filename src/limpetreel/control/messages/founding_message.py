"""Messages between the first instances of a cluster."""

from __future__ import annotations

import msgspec

from limpetreel.control.messages import founding_reply, founding_request
from limpetreel.core import failure, reason

Message = founding_request.FoundingRequest | founding_reply.FoundingReply

_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message | failure.Failure:
    """Return the message in the bytes."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "founding_message.decode", detail=str(exc)
        )
