"""Time at which a process existed."""

from __future__ import annotations

import msgspec


class ProcessStart(msgspec.Struct, frozen=True):
    """One moment at or after the creation of a process, on two clocks.

    Attributes
    ----------
    at : float
        Monotonic time in seconds.
    unix_ms : float
        Milliseconds since 1970 on the clock of the machine.
    """

    at: float
    unix_ms: float
