"""Record of a class."""

from __future__ import annotations

import msgspec


class ClassRecord(msgspec.Struct, frozen=True, tag="class", array_like=True):
    """A class of work and its targets.

    Attributes
    ----------
    class_id : int
        Number of the class, never reused.
    name : str
        Name that operators use.
    capacity : int
        How many open requests the class may carry at once.
    answer_ms : int
        How quickly a request must be answered, in milliseconds.
    zones : tuple of str
        Zones in which the class may run; empty means all.
    port : int
        UDP port of the class's address, allocated by control.
    modified : int
        Revision of the last change.
    removed : bool
        True for a tombstone.
    """

    class_id: int
    name: str
    capacity: int
    answer_ms: int
    zones: tuple[str, ...]
    port: int
    modified: int
    removed: bool = False

    @property
    def key(self) -> str:
        """Key of the record in the table."""
        return f"class/{self.name}"
