"""Processor time and memory that a call uses."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MICROSECONDS = 1e6


def min_cpu_us(function: Callable[[], object], repeats: int) -> float:
    """Return the shortest processor time of several calls in microseconds.

    Other work on the machine can only lengthen a call, so that the shortest one is
    the closest to the real cost.
    """
    shortest = float("inf")
    for _ in range(repeats):
        started = time.process_time()
        function()
        shortest = min(shortest, time.process_time() - started)
    return shortest * MICROSECONDS


def retained_bytes(build: Callable[[], object]) -> int:
    """Return the bytes of Python memory that the result of a call retains."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return after - before
