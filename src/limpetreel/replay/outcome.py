"""Outcome of a replay."""

from __future__ import annotations

import msgspec


class Outcome(msgspec.Struct, frozen=True):
    """Result of comparing a replay with its log.

    Attributes
    ----------
    agreed : int
        Number of events with the recorded decision.
    difference : str
        First event with another decision, empty if all agree.
    problem : str
        Reason why the log could not be read further, empty if it was read to its end.
    is_torn : bool
        Whether the log ends in an incomplete record, as after a crash.
    """

    agreed: int
    difference: str = ""
    problem: str = ""
    is_torn: bool = False
