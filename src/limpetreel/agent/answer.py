"""An upstream's answer as the decision logic sees it."""

from __future__ import annotations

import msgspec


class Answer(msgspec.Struct, frozen=True):
    """An answer, independent of the caller protocol.

    Attributes
    ----------
    message_id : int
        Message id of the answer's datagram.
    token : bytes
        Token of the request that it answers.
    shed : bool
        Whether the upstream refused the request because of its load.
    failed : bool
        Whether the upstream reports a failure of its own.
    last : bool
        False if more answers may follow.
    """

    message_id: int
    token: bytes
    shed: bool
    failed: bool
    last: bool
