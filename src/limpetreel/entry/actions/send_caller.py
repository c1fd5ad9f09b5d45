"""Send an answer to a caller."""

from __future__ import annotations

import msgspec

from limpetreel.wire import address


class SendCaller(msgspec.Struct, frozen=True, tag="send_caller"):
    """A datagram to send from the address of a class.

    Attributes
    ----------
    class_id : int
        Class whose address is the source.
    caller : Address
        Destination.
    datagram : bytes
        Content.
    """

    class_id: int
    caller: address.Address
    datagram: bytes
