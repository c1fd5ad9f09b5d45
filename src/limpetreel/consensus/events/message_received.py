"""Message from another instance."""

from __future__ import annotations

import msgspec

from limpetreel.consensus.messages import envelope


class MessageReceived(msgspec.Struct, frozen=True, tag="message_received"):
    """A message from another instance arrived.

    Attributes
    ----------
    envelope : Envelope
        The message with its sender and target.
    """

    envelope: envelope.Envelope
