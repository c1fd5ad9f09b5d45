"""Identity of a request."""

from __future__ import annotations

import msgspec

from limpetreel.flows import flow_key


class RequestKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a request, so that repetitions can be recognised.

    Attributes
    ----------
    flow : FlowKey
        Flow of the request.
    message_id : int
        Message id; equal in every retransmission of a datagram.
    resend_id : bytes
        Request tag and token, at most 32 bytes; equal when the caller sends the
        request again with a new message id. Empty if the caller sent no request tag.
    """

    flow: flow_key.FlowKey
    message_id: int
    resend_id: bytes = b""

    def lookup_keys(self) -> tuple[tuple[flow_key.FlowKey, bytes], ...]:
        """Return the keys under which the request is recorded."""
        by_id = (self.flow, b"i" + self.message_id.to_bytes(4, "big"))
        if not self.resend_id:
            return (by_id,)
        return (by_id, (self.flow, b"r" + self.resend_id))
