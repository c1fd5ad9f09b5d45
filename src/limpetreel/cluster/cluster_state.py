"""State machine on the replicated log."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import msgspec

from limpetreel import exceptions
from limpetreel.cluster.commands import set_configuration, set_zone

if TYPE_CHECKING:
    from limpetreel.configuration import configuration as configurations
    from limpetreel.configuration import document_parser

Command = set_configuration.SetConfiguration | set_zone.SetZone

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)
COMPRESSION_LEVEL = 1
"""The fastest level; documents repeat field names and shrink to a tenth even so."""


class _Image(msgspec.Struct, frozen=True):
    """State as stored in a snapshot."""

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
    version : int
        Version of the document in force; 0 before the first one.
    configuration : Configuration or None
        The document in force, None if there is none or it cannot be read.
    unreadable : str
        Why the document in force cannot be read, empty if it can.
    zones_out : frozenset of str
        Data centres that take no new flows.
    """

    def __init__(self, parser: document_parser.DocumentParser) -> None:
        self._parser = parser
        self._compressed = b""
        self.applied = 0
        self.version = 0
        self.configuration: configurations.Configuration | None = None
        self.unreadable = ""
        self.zones_out: frozenset[str] = frozenset()
        self.agents: frozenset[str] = frozenset()

    @property
    def document(self) -> bytes:
        """Return the document in force as it was sent, empty before the first."""
        return zlib.decompress(self._compressed) if self._compressed else b""

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
        command = _DECODER.decode(data)
        if isinstance(command, set_zone.SetZone):
            return self._set_zone(command)
        if command.agents_added or command.agents_removed:
            kept = self.agents.difference(command.agents_removed)
            self.agents = kept.union(command.agents_added)
            return True
        if command.version <= self.version:
            return False
        self._set_document(command.version, command.document)
        return True

    def snapshot(self) -> bytes:
        """Return the whole state."""
        zones = tuple(sorted(self.zones_out))
        return _ENCODER.encode(
            _Image(self.version, self._compressed, zones, tuple(sorted(self.agents)))
        )

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

    def _set_zone(self, command: set_zone.SetZone) -> bool:
        before = self.zones_out
        changed = {command.name}
        self.zones_out = before | changed if command.is_out else before - changed
        return self.zones_out != before

    def _set_document(self, version: int, compressed: bytes) -> None:
        self.version = version
        self._compressed = compressed
        self.configuration, self.unreadable = None, ""
        try:
            self.configuration = self._parser.parse(zlib.decompress(compressed))
        except exceptions.DocumentError as exc:
            # Another release has accepted it. It is replicated and read back all the
            # same; nodes keep the configuration that they have.
            self.unreadable = exc.detail


def encode(command: Command) -> bytes:
    """Return the data of a log entry."""
    return _ENCODER.encode(command)


def compress(document: bytes) -> bytes:
    """Return a document as `SetConfiguration` holds it."""
    return zlib.compress(document, COMPRESSION_LEVEL)
