"""Replacement of the configuration."""

from __future__ import annotations

import msgspec


class SetConfiguration(msgspec.Struct, frozen=True):
    """Put a configuration into force if its version is the highest.

    Attributes
    ----------
    version : int
        Version of the configuration; any number may be the first.
    document : bytes
        The valid document, compressed.
    """

    version: int
    document: bytes
