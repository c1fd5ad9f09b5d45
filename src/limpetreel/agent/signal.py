"""A caller datagram that is neither a request nor an answer."""

from __future__ import annotations

import msgspec


class Signal(msgspec.Struct, frozen=True):
    """An acknowledgement or a cancellation.

    Attributes
    ----------
    message_id : int
        Id of the message that the signal refers to.
    cancel : bool
        True for a cancellation, False for an acknowledgement.
    """

    message_id: int
    cancel: bool
