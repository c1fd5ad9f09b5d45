"""Replacement of the configuration."""

from __future__ import annotations

import msgspec


class SetConfiguration(msgspec.Struct, frozen=True, tag="set_configuration"):
    """Put a configuration into force if its version is the highest.

    Attributes
    ----------
    version : int
        Version of the configuration.
    document : bytes
        The valid document, compressed.
    """

    version: int
    document: bytes
