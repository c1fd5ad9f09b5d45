"""A planned stop of the agent."""

from __future__ import annotations

import msgspec


class DrainRequested(msgspec.Struct, frozen=True, tag="drain_requested"):
    """The agent shall stop once its flows have ended."""
