"""Replacement of the configuration."""

from __future__ import annotations

import msgspec


class SetConfiguration(msgspec.Struct, frozen=True, tag="set_configuration"):
    """Put a configuration into force if its version is the highest.

    It also changes the registered agents. An entry that only does that has version 0,
    so that control instances of earlier versions take it for an old configuration; an
    unknown command would end them.

    Attributes
    ----------
    version : int
        Version of the configuration.
    document : bytes
        The valid document, compressed.
    agents_added, agents_removed : tuple of str
        Names of agents to register, and no longer to register.
    """

    version: int
    document: bytes
    agents_added: tuple[str, ...] = ()
    agents_removed: tuple[str, ...] = ()
