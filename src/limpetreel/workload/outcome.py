"""Outcomes of a request as its caller sees them."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """Outcome of a request for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    NO_ANSWER = "no answer"
