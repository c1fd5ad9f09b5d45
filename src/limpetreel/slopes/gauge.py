"""Processor time and memory of a call."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MICROSECONDS = 1e6


def least_us(work: Callable[[], object], repeats: int) -> float:
    """Return the least processor time of several calls in microseconds.

    Other work on the machine lengthens a call and never shortens it.
    """
    best = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best * MICROSECONDS


def held_bytes(build: Callable[[], object]) -> int:
    """Return the bytes of Python memory that the result of a call holds."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before
