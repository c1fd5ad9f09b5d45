"""Message to a control instance."""

from __future__ import annotations

import msgspec


class SendControl(msgspec.Struct, frozen=True, tag="send_control"):
    """Send a message to another control instance, without guaranteed delivery.

    Attributes
    ----------
    address : str
        Destination, ``host:port``.
    data : bytes
        The encoded message.
    """

    address: str
    data: bytes
