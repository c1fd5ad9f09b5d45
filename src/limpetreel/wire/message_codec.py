"""Encoding of control messages."""

from __future__ import annotations

import msgspec

from limpetreel.core import failure, reason
from limpetreel.flows import router_message
from limpetreel.messages import (
    delta,
    delta_request,
    lease,
    mismatch,
    probe,
    probe_answer,
    renew,
)

Message = (
    renew.Renew
    | lease.Lease
    | delta_request.DeltaRequest
    | delta.Delta
    | probe.Probe
    | probe_answer.ProbeAnswer
    | mismatch.Mismatch
    | router_message.RouterMessage
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the frame body of a control message."""
    return _ENCODER.encode(message)


def decode(body: bytes) -> Message | failure.Failure:
    """Return the control message of a frame body."""
    try:
        return _DECODER.decode(body)
    # Deeply nested content in a skipped field raises RecursionError.
    except (msgspec.DecodeError, RecursionError) as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "message.decode", detail=str(exc)
        )
