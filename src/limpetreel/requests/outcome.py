"""Outcomes of a request."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """How a request ended for its caller.

    NOT_RUN is a statement that the request never ran and never will. UNKNOWN
    states nothing.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
