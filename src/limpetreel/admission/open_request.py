"""A request that was sent to the upstream and has not ended."""

from __future__ import annotations

import msgspec


class OpenRequest(msgspec.Struct, frozen=True):
    """A sent request whose outcome is not known yet.

    Attributes
    ----------
    caller : int
        The caller.
    sent_at : float
        When it was sent, in seconds.
    deadline_at : float
        Deadline in seconds.
    open_at_send : int
        Open requests including this one when it was sent.
    """

    caller: int
    sent_at: float
    deadline_at: float
    open_at_send: int
