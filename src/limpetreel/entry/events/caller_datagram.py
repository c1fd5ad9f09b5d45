"""A datagram from a caller."""

from __future__ import annotations

import msgspec

from limpetreel.wire import address


class CallerDatagram(msgspec.Struct, frozen=True, tag="caller_datagram"):
    """A datagram that arrived on the address of a class.

    Attributes
    ----------
    class_id : int
        Id of the class.
    caller : Address
        Source of the datagram.
    datagram : bytes
        Content of the datagram.
    """

    class_id: int
    caller: address.Address
    datagram: bytes
