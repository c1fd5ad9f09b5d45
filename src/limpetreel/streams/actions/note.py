"""Line for the log."""

from __future__ import annotations

import msgspec


class Note(msgspec.Struct, frozen=True, tag="note"):
    """Log a decision about one flow, or a change of what the core believes.

    Attributes
    ----------
    level : str
        ``debug``, ``info`` or ``warning``.
    step : str
        What was decided, such as ``flow.refused``.
    fields : dict
        What decided it, and the outcome.
    """

    level: str
    step: str
    fields: dict[str, str | int | float]
