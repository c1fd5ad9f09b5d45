"""Planned stop of an agent."""

from __future__ import annotations

import msgspec


class AgentLeaving(msgspec.Struct, frozen=True):
    """The process of the agent is stopped as planned."""
