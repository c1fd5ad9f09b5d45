"""State machine on the replicated log."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

from limpetreel import exceptions
from limpetreel.cluster import command_codec
from limpetreel.cluster.commands import register_agents, set_zone

if TYPE_CHECKING:
    from limpetreel.configuration import configuration as configurations
    from limpetreel.configuration import document_parser

_ENCODER = msgspec.msgpack.Encoder()
COMPRESSION_LEVEL = 1
"""The fastest level; documents repeat field names and shrink to a tenth even so."""


class _Image(msgspec.Struct, frozen=True):
    """State as stored in a snapshot.

    The document is empty if there is none, and the version is not read then.
    """

    version: int
    document: bytes
    zones_out: tuple[str, ...]
    agents: tuple[str, ...] = ()


class ClusterState:
    """Configuration in force, data centres out of service, and registered agents.

    Parameters
    ----------
    parser : DocumentParser
        Format of the documents.

    Attributes
    ----------
    applied : int
        Index of the last entry that was applied.
    version : int or None
        Version of the document in force, None before the first one.
    configuration : Configuration or None
        The document in force, None if there is none or it cannot be read.
    unreadable : str or None
        Why the document in force cannot be read, None if it can.
    zones_out : frozenset of str
        Data centres that take no new flows.
    """

    def __init__(self, parser: document_parser.DocumentParser) -> None:
        self._parser = parser
        self._compressed: bytes | None = None
        self.applied = 0
        self.version: int | None = None
        self.configuration: configurations.Configuration | None = None
        self.unreadable: str | None = None
        self.zones_out: frozenset[str] = frozenset()
        self.agents: frozenset[str] = frozenset()

    @property
    def document(self) -> bytes | None:
        """Return the document in force as it was sent, None before the first."""
        if self._compressed is None:
            return None
        return zlib.decompress(self._compressed)

    def apply(self, index: int, data: bytes) -> bool:
        """Apply a command; return whether it changed anything.

        Parameters
        ----------
        index : int
            Index of the entry.
        data : bytes
            The encoded command.
        """
        self.applied = index
        command = command_codec.decode(data)
        if isinstance(command, set_zone.SetZone):
            return self._set_zone(command)
        if isinstance(command, register_agents.RegisterAgents):
            before = self.agents
            self.agents = before.difference(command.removed).union(command.added)
            return self.agents != before
        if not is_newer(command.version, self.version):
            return False
        self._set_document(command.version, command.document)
        return True

    def snapshot(self) -> bytes:
        """Return the whole state."""
        zones, agents = tuple(sorted(self.zones_out)), tuple(sorted(self.agents))
        if self.version is None or self._compressed is None:
            return _ENCODER.encode(_Image(0, b"", zones, agents))
        return _ENCODER.encode(_Image(self.version, self._compressed, zones, agents))

    def restore(self, index: int, data: bytes) -> None:
        """Replace the state by that of a snapshot.

        Raises
        ------
        CorruptError
            If the snapshot cannot be read.
        """
        try:
            image = msgspec.msgpack.decode(data, type=_Image)
        except msgspec.DecodeError as exc:
            raise exceptions.CorruptError("cluster.restore", str(exc)) from exc
        self.applied = index
        self.zones_out = frozenset(image.zones_out)
        self.agents = frozenset(image.agents)
        if image.document:
            self._set_document(image.version, image.document)
        else:
            self._compressed = self.version = None
            self.configuration, self.unreadable = None, None

    def _set_zone(self, command: set_zone.SetZone) -> bool:
        before = self.zones_out
        changed = {command.name}
        self.zones_out = before | changed if command.is_out else before - changed
        return self.zones_out != before

    def _set_document(self, version: int, compressed: bytes) -> None:
        self.version = version
        self._compressed = compressed
        self.configuration, self.unreadable = None, None
        try:
            self.configuration = self._parser.parse(zlib.decompress(compressed))
        except exceptions.DocumentError as exc:
            # Another release has accepted it. It is replicated and read back all the
            # same; nodes keep the configuration that they have.
            self.unreadable = exc.detail


def is_newer(version: int, known: int | None) -> bool:
    """Return whether a version is higher than the known one, if there is one."""
    return known is None or version > known


def compress(document: bytes) -> bytes:
    """Return a document as `SetConfiguration` holds it."""
    return zlib.compress(document, COMPRESSION_LEVEL)
