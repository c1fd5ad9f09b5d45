"""Slow start of a fresh or cold upstream."""

from __future__ import annotations

import math

HOLD_SECONDS = 3.0
"""Time at a limit of 1; upstreams warm up over some seconds."""

MAX_HOLD_SECONDS = 30.0
STEP_SECONDS = 1.0
STEP_SUCCESSES = 4
GROWTH_DIVISOR = 2

WARM_RATIO = 1.15
"""Ratio of latency to that before the cold phase at which growth begins."""

FALLING_RATIO = 0.9
"""A step mean below this ratio to the step before shows that warming goes on."""

CONGESTED_RATIO = 1.5
"""Ratio of latency to the lowest step mean at which the limit is too high.

The mean of 4 latencies with a deviation of 30 % exceeds the lowest of several such
means by 30 % too often: slow start then ended at a limit of 1.
"""

WARM_STEPS = 2
"""Steps in a row with a warm latency before the first growth: an upstream with two
slots bears a second request only when it is entirely warm.
"""

PATIENCE_SECONDS = 10.0
"""Time after which a lasting higher latency is accepted as the new normal."""


class SlowStart:
    """Limit that begins at 1 and grows only by measured success.

    Growth waits until the latency has come down to that of the warm upstream
    or, where that is unknown, until the latency no longer falls.
    """

    def __init__(self) -> None:
        self.active = True
        self.limit = 1
        self._began = 0.0
        self._hold = HOLD_SECONDS
        self._target: int | None = None
        self._warm_latency: float | None = None
        self._last_mean: float | None = None
        self._best_mean = math.inf
        self._limit_before = 1
        self._warm_steps = 0
        self._start_step(0.0)

    def begin(
        self,
        now: float,
        target: int | None,
        warm_latency: float | None,
        is_repeated: bool,
    ) -> None:
        """Start a cold phase.

        Parameters
        ----------
        now : float
            Time in seconds.
        target : int or None
            Limit at which slow start ends, None if there is none.
        warm_latency : float or None
            Mean latency of the warm upstream in seconds, None if unknown.
        is_repeated : bool
            Whether growth in the phase before went wrong. The hold time is then
            doubled, so that an upstream that warms up slowly is not overloaded
            again and again.
        """
        if is_repeated:
            self._hold = min(2 * self._hold, MAX_HOLD_SECONDS)
        else:
            self._hold = HOLD_SECONDS
        self.active = True
        self.limit = 1
        self._began = now
        self._target = target
        self._warm_latency = warm_latency
        self._last_mean = None
        self._best_mean = math.inf
        self._limit_before = 1
        self._warm_steps = 0
        self._start_step(now)

    def note_success(self, now: float, latency: float, open_at_send: int) -> None:
        """Add an answered request that was sent in this phase."""
        if open_at_send < self.limit:
            return
        self._sum += latency
        self._count += 1
        if self._count < STEP_SUCCESSES or now - self._step_began < STEP_SECONDS:
            return
        mean = self._sum / self._count
        if self.limit > 1 and mean > self._best_mean * CONGESTED_RATIO:
            self.limit = self._limit_before
            self.end()
        elif self._is_warm(now, mean):
            self._warm_steps += 1
            if self._warm_steps >= WARM_STEPS:
                self._grow()
        else:
            self._warm_steps = 0
        self._best_mean = min(self._best_mean, mean)
        self._last_mean = mean
        self._start_step(now)

    @property
    def proven(self) -> tuple[int, float]:
        """Limit of the last complete step and its mean latency, 0 if unknown."""
        return self._limit_before, self._last_mean or 0.0

    def end(self) -> None:
        """End slow start; the limiter takes over."""
        self.active = False

    def _is_warm(self, now: float, mean: float) -> bool:
        if now - self._began < self._hold:
            return False
        known = self._warm_latency
        if known is not None and mean <= known * WARM_RATIO:
            return True
        if known is not None and now - self._began < PATIENCE_SECONDS:
            return False
        last = self._last_mean
        return last is not None and mean >= last * FALLING_RATIO

    def _grow(self) -> None:
        self._limit_before = self.limit
        self.limit += max(1, self.limit // GROWTH_DIVISOR)
        if self._target is not None and self.limit >= self._target:
            self.limit = max(1, self._target)
            self.end()

    def _start_step(self, now: float) -> None:
        self._step_began = now
        self._sum = 0.0
        self._count = 0
