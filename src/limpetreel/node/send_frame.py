"""Send a frame to another process of the system."""

from __future__ import annotations

import msgspec

from limpetreel.wire import address


class SendFrame(msgspec.Struct, frozen=True, tag="send_frame"):
    """Encode and send a frame.

    Attributes
    ----------
    destination : Address
        Address of the receiver.
    target : int
        Incarnation of the receiver, or `wire.frame.ANY_INCARNATION`.
    kind : int
        A `wire.kind.Kind` value.
    body : bytes
        Content of the frame.
    """

    destination: address.Address
    target: int
    kind: int
    body: bytes
