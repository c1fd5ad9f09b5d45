"""Encoding of the commands of the replicated log."""

from __future__ import annotations

import msgspec

from limpetreel.cluster.commands import register_agents, set_configuration, set_zone

Change = set_configuration.SetConfiguration | set_zone.SetZone
"""What operators may ask for."""
Command = Change | register_agents.RegisterAgents


LOG_FORMAT = 1
"""Latest format of entries that this release applies. Format 0 has no document of
version 0, which releases of that format drop."""


class _StoredConfiguration(msgspec.Struct, frozen=True, tag="set_configuration"):
    """A configuration, or a change of the registered agents.

    Earlier releases know no command for agents and end at one. They take an entry
    without a document for an old configuration; its version is not read here.
    """

    version: int
    document: bytes
    agents_added: tuple[str, ...] = ()
    agents_removed: tuple[str, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[_StoredConfiguration | set_zone.SetZone] = (
    msgspec.msgpack.Decoder(_StoredConfiguration | set_zone.SetZone)
)


def required_format(command: Command) -> int:
    """Return the earliest format that has a command."""
    if isinstance(command, set_configuration.SetConfiguration):
        return 1 if command.version == 0 else 0
    return 0


def encode(command: Command) -> bytes:
    """Return the data of a log entry."""
    if isinstance(command, register_agents.RegisterAgents):
        stored = _StoredConfiguration(0, b"", command.added, command.removed)
        return _ENCODER.encode(stored)
    if isinstance(command, set_configuration.SetConfiguration):
        stored = _StoredConfiguration(command.version, command.document)
        return _ENCODER.encode(stored)
    return _ENCODER.encode(command)


def decode(data: bytes) -> Command:
    """Return the command in a log entry.

    Raises
    ------
    msgspec.DecodeError
        If the entry holds no command of this release.
    """
    stored = _DECODER.decode(data)
    if isinstance(stored, set_zone.SetZone):
        return stored
    if not stored.document:
        return register_agents.RegisterAgents(
            stored.agents_added, stored.agents_removed
        )
    return set_configuration.SetConfiguration(stored.version, stored.document)
