"""Moment on a follower's clock."""

from __future__ import annotations

import msgspec


class Stamp(msgspec.Struct, frozen=True):
    """When a follower sent a reply, on its own clock.

    Attributes
    ----------
    session : int
        Random number of the follower's start, since a clock that restarted must not
        be compared with stamps from before.
    sent_at : float
        Monotonic time in seconds.
    """

    session: int
    sent_at: float
