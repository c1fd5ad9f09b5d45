"""Outcomes of an operator's call."""

from __future__ import annotations

import enum


class CallStatus(enum.StrEnum):
    """Outcome of a call."""

    DONE = "done"
    REDIRECT = "redirect"
    """Another instance is the leader; the call must be sent to it."""
    UNAVAILABLE = "unavailable"
    """No quorum confirmed the call in time; a change may still be committed."""
    MISSING = "missing"
    """There is no configuration yet."""
