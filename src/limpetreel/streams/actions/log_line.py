"""Log line."""

from __future__ import annotations

import msgspec


class LogLine(msgspec.Struct, frozen=True, tag="note"):
    """Log a decision about one flow, or a state change of the core.

    Attributes
    ----------
    level : str
        ``debug``, ``info`` or ``warning``.
    step : str
        Kind of decision, such as ``flow.refused``.
    fields : dict
        Inputs of the decision and its outcome.
    """

    level: str
    step: str
    fields: dict[str, str | int | float]
