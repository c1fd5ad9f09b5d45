"""Send an answer to a caller."""

from __future__ import annotations

import msgspec

from limpetreel.wire import address


class SendCaller(msgspec.Struct, frozen=True, tag="send_caller"):
    """Send a datagram to a caller from the address of a class.

    Attributes
    ----------
    class_id : int
        Id of the class whose address is the source.
    caller : Address
        Destination address.
    datagram : bytes
        Content of the datagram.
    """

    class_id: int
    caller: address.Address
    datagram: bytes
