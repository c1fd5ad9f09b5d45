"""How a request that was sent to the upstream ended."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """Outcome of a sent request as the agent saw it."""

    ANSWERED = "answered"
    SHED = "shed by the upstream"
    TIMED_OUT = "timed out"
