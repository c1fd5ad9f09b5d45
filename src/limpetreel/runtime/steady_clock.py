"""Clock for intervals."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds that never go back and that count a suspended machine's sleep.

    A lease must not outlive the sleep of its holder, which `time.monotonic` does
    not count.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
