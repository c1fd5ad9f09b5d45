"""Slow start of a newly started or cold upstream."""

from __future__ import annotations

import math

HOLD_SECONDS = 3.0
"""Minimum time at a limit of 1; upstreams take several seconds to warm up."""

MAX_HOLD_SECONDS = 30.0
STEP_SECONDS = 1.0
STEP_SUCCESSES = 4
GROWTH_DIVISOR = 2

WARM_RATIO = 1.15
"""Ratio to the latency before the cold phase up to which the upstream is warm."""

FALLING_RATIO = 0.9
"""Ratio to the previous step mean below which the upstream is still warming up."""

CONGESTED_RATIO = 1.5
"""Ratio to the lowest step mean above which the limit is too high.

The mean of 4 latencies with a deviation of 30 % often exceeds the lowest of several
such means by 30 %. With a ratio that low, slow start ended at a limit of 1.
"""

WARM_STEPS = 2
"""Consecutive steps with a warm latency before the first growth.

An upstream with two slots can handle a second request only once it is fully warm.
"""

MAX_WARM_WAIT_SECONDS = 10.0
"""Time after which a higher but steady latency is accepted as the warm latency."""


class SlowStart:
    """Limit that starts at 1 and grows only after successful steps.

    Growth starts once the latency has fallen to that of the warm upstream or, if that
    is unknown, once the latency no longer falls.
    """

    def __init__(self) -> None:
        self.active = True
        self.limit = 1
        self._started_at = 0.0
        self._hold_seconds = HOLD_SECONDS
        self._target: int | None = None
        self._warm_latency: float | None = None
        self._last_mean: float | None = None
        self._lowest_mean = math.inf
        self._previous_limit = 1
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
            Whether the previous phase failed after the limit had grown. The hold time
            is then doubled, so that an upstream that warms up slowly is not overloaded
            repeatedly.
        """
        if is_repeated:
            self._hold_seconds = min(2 * self._hold_seconds, MAX_HOLD_SECONDS)
        else:
            self._hold_seconds = HOLD_SECONDS
        self.active = True
        self.limit = 1
        self._started_at = now
        self._target = target
        self._warm_latency = warm_latency
        self._last_mean = None
        self._lowest_mean = math.inf
        self._previous_limit = 1
        self._warm_steps = 0
        self._start_step(now)

    def record_success(self, now: float, latency: float, open_at_send: int) -> None:
        """Add an answered request that was sent in this phase."""
        if open_at_send < self.limit:
            return
        self._sum += latency
        self._count += 1
        if self._count < STEP_SUCCESSES or now - self._step_started_at < STEP_SECONDS:
            return
        mean = self._sum / self._count
        if self.limit > 1 and mean > self._lowest_mean * CONGESTED_RATIO:
            self.limit = self._previous_limit
            self.end()
        elif self._is_warm(now, mean):
            self._warm_steps += 1
            if self._warm_steps >= WARM_STEPS:
                self._grow()
        else:
            self._warm_steps = 0
        self._lowest_mean = min(self._lowest_mean, mean)
        self._last_mean = mean
        self._start_step(now)

    @property
    def last_step(self) -> tuple[int, float]:
        """Limit of the last complete step and its mean latency, 0 if unknown."""
        return self._previous_limit, self._last_mean or 0.0

    def end(self) -> None:
        """End slow start; the limiter determines the limit from now on."""
        self.active = False

    def _is_warm(self, now: float, mean: float) -> bool:
        if now - self._started_at < self._hold_seconds:
            return False
        warm = self._warm_latency
        if warm is not None and mean <= warm * WARM_RATIO:
            return True
        if warm is not None and now - self._started_at < MAX_WARM_WAIT_SECONDS:
            return False
        last = self._last_mean
        return last is not None and mean >= last * FALLING_RATIO

    def _grow(self) -> None:
        self._previous_limit = self.limit
        self.limit += max(1, self.limit // GROWTH_DIVISOR)
        if self._target is not None and self.limit >= self._target:
            self.limit = max(1, self._target)
            self.end()

    def _start_step(self, now: float) -> None:
        self._step_started_at = now
        self._sum = 0.0
        self._count = 0
