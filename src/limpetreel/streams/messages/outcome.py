"""Outcomes of an offer."""

from __future__ import annotations

import enum


class Outcome(enum.IntEnum):
    """Answer of an agent to an offered flow."""

    ACCEPTED = 0
    QUEUED = 1
    BUSY = 2
    """No free slot now; the flow has not been sent to the upstream."""
    WARMING = 3
    """A cold upstream has reached its limit of new flows per second."""
    CLOSED = 4
    """The upstream is draining, departed or no longer announced, or its zone is out."""
    UNRESPONSIVE = 5
    """The upstream did not answer the opening packet."""
    FULL = 6
    """The upstream returned the opening packet."""
    NO_ROUTE = 7
    """The agent's configuration has no route to this service."""
    STARTING = 9
    """The agent has started and has no announcement of its upstream yet."""
    STALE = 8
    """The agent has not yet received the configuration version that the entry used."""
