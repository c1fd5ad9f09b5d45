"""Random choice by weight."""

from __future__ import annotations

import bisect
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from limpetreel.streams.placement import agent_hint


class WeightedDraw:
    """Draws agents by the requests per second that their upstreams can answer.

    Parameters
    ----------
    hints : sequence of AgentHint
        The agents.
    random : random.Random
        Source of the choice.
    """

    def __init__(
        self, hints: Sequence[agent_hint.AgentHint], random: random.Random
    ) -> None:
        self._hints = hints
        self._random = random
        self._sums: list[float] = []
        self.reweigh()

    def __len__(self) -> int:
        """Return the number of agents."""
        return len(self._hints)

    def reweigh(self) -> None:
        """Apply the present weights."""
        self._sums = list(itertools.accumulate(h.weight for h in self._hints))

    def draw(self, count: int) -> Sequence[agent_hint.AgentHint]:
        """Return some agents, all of them if there are no more; may repeat one."""
        if len(self._hints) <= count:
            return self._hints
        total, last = self._sums[-1], len(self._sums) - 1
        return [
            self._hints[
                min(last, bisect.bisect(self._sums, total * self._random.random()))
            ]
            for _ in range(count)
        ]
