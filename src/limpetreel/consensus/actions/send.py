"""Message to another instance."""

from __future__ import annotations

import msgspec

from limpetreel.consensus.messages import envelope


class Send(msgspec.Struct, frozen=True, tag="send"):
    """Send a message, which may be lost, duplicated or delayed.

    Attributes
    ----------
    peer : str
        Identity of the receiver; empty for any identity at the address.
    address : str
        Address of the receiver.
    message : Message
        The message. The shell puts it into an `Envelope`.
    """

    peer: str
    address: str
    message: envelope.Message
