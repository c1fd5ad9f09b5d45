"""Monotonic clock that includes suspend time."""

from __future__ import annotations

import time


def now() -> float:
    """Return monotonic seconds, including the time that the machine was suspended.

    A lease must expire while its holder is suspended, and `time.monotonic` does not
    count that time.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
