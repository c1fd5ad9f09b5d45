"""Outcome of a request that was sent to the upstream."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """Outcome of a sent request as observed by the agent."""

    ANSWERED = "answered"
    SHED = "shed by the upstream"
    TIMED_OUT = "timed out"
