"""Request for a graceful shutdown of the agent."""

from __future__ import annotations

import msgspec


class DrainRequested(msgspec.Struct, frozen=True, tag="drain_requested"):
    """The agent stops once its open requests and recent flows have ended."""
