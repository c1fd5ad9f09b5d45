"""Outcomes of a request."""

from __future__ import annotations

import enum


class Outcome(enum.StrEnum):
    """Outcome of a request for its caller.

    NOT_RUN guarantees that the request did not run and will not run. UNKNOWN
    guarantees nothing.
    """

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
