"""Message to another control instance."""

from __future__ import annotations

import msgspec


class SendPeer(msgspec.Struct, frozen=True, tag="send_peer"):
    """Send a message; it may be lost.

    Attributes
    ----------
    address : str
        ``host:port`` of the instance.
    kind : int
        `kind.Kind.CONSENSUS`, `REPORT` or `FOUNDING`.
    body : bytes
        Encoded message.
    """

    address: str
    kind: int
    body: bytes
