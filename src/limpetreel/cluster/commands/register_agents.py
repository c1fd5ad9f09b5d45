"""Change of the registered agents."""

from __future__ import annotations

import msgspec


class RegisterAgents(msgspec.Struct, frozen=True):
    """Register agents, and remove others from the register.

    Attributes
    ----------
    added, removed : tuple of str
        Names of agents.
    """

    added: tuple[str, ...]
    removed: tuple[str, ...] = ()
