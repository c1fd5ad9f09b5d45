"""Message to another instance."""

from __future__ import annotations

import msgspec

from limpetreel.consensus.messages import envelope


class Send(msgspec.Struct, frozen=True, tag="send"):
    """Send a message; it may be lost, repeated or late.

    Attributes
    ----------
    peer : str
        Identity of the receiver; empty for any instance at the address.
    address : str
        Where the receiver is reached.
    message : Message
        The message. The shell puts it into an `Envelope`.
    """

    peer: str
    address: str
    message: envelope.Message
