"""Encoding of envelopes."""

from __future__ import annotations

import msgspec

from limpetreel.consensus.messages import envelope
from limpetreel.core import failure, reason

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(envelope.Envelope)


def encode(message: envelope.Envelope) -> bytes:
    """Return the encoded envelope."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> envelope.Envelope | failure.Failure:
    """Return the decoded envelope, or a failure if it is malformed."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "consensus.decode", detail=str(exc)
        )
