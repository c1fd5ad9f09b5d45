"""Outcomes of an operator's call."""

from __future__ import annotations

import enum


class CallStatus(enum.StrEnum):
    """What became of a call."""

    DONE = "done"
    REDIRECT = "redirect"
    """Another instance leads; the call has to go there."""
    UNAVAILABLE = "unavailable"
    """No quorum confirmed it in time; a change may still be accepted."""
    MISSING = "missing"
    """There is no configuration yet."""
