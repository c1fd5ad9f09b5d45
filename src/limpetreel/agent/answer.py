"""Answer of an upstream, independent of the caller protocol."""

from __future__ import annotations

import msgspec


class Answer(msgspec.Struct, frozen=True):
    """An upstream's answer, decoded by a `CallerProtocol`.

    Attributes
    ----------
    message_id : int
        Message id of the answer's datagram.
    token : bytes
        Token of the request being answered.
    shed : bool
        Whether the upstream rejected the request because it is overloaded.
    failed : bool
        Whether the upstream reports an internal error.
    last : bool
        False if further answers to the same request may follow.
    """

    message_id: int
    token: bytes
    shed: bool
    failed: bool
    last: bool
