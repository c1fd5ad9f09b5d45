"""Time stamp of a follower."""

from __future__ import annotations

import msgspec


class Stamp(msgspec.Struct, frozen=True):
    """Sending time of a reply on the follower's clock.

    Attributes
    ----------
    session : int
        Random number chosen at each start of the follower, since stamps from before
        a restart are not comparable.
    sent_at : float
        Monotonic time in seconds.
    """

    session: int
    sent_at: float
