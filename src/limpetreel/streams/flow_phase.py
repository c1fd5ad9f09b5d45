"""Phases of a flow at its owner."""

from __future__ import annotations

import enum


class FlowPhase(enum.Enum):
    """What the upstream does for a flow."""

    OFFERED = "offered"
    """The opening packet was sent to the upstream, which has not answered."""
    OPENING = "opening"
    """The upstream has accepted; the caller has not sent a request."""
    RECEIVING = "receiving"
    """A request is still arriving, so the upstream does not work on it."""
    WORKING = "working"
    """A request has arrived in full and is not yet answered."""
    IDLE = "idle"
    """The answer has begun, or the flow waits for another request."""


REQUEST_PHASES = (FlowPhase.RECEIVING, FlowPhase.WORKING)
"""Phases in which a response is awaited."""
