"""A caller datagram that is neither a request nor an answer."""

from __future__ import annotations

import msgspec


class Signal(msgspec.Struct, frozen=True):
    """An acknowledgement or a cancellation.

    Attributes
    ----------
    message_id : int
        The message that it refers to.
    cancel : bool
        True if the sender does not want the message any more.
    """

    message_id: int
    cancel: bool
