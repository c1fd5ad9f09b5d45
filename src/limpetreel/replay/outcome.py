"""Outcome of a replay."""

from __future__ import annotations

import msgspec


class Outcome(msgspec.Struct, frozen=True):
    """How far a replay agreed with its log.

    Attributes
    ----------
    agreed : int
        Events that gave the recorded decision.
    difference : str
        First event that did not, empty if all agree.
    problem : str
        Why the log could not be read further, empty if it was read to its end.
    is_torn : bool
        Whether the log ends within a record, as after a sudden stop.
    """

    agreed: int
    difference: str = ""
    problem: str = ""
    is_torn: bool = False
