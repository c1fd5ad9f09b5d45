"""Sentinel value that stands for a missing result."""

from __future__ import annotations

import msgspec

from limpetreel.core import reason as reasons


class Failure(msgspec.Struct, frozen=True):
    """Returned in place of a result where a step failed.

    Attributes
    ----------
    reason : Reason
        Why there is no result.
    step : str
        The step that failed, such as ``"frame.decode"``.
    peer : str
        The peer at which it failed, empty if there is none.
    detail : str
        Further text for operators.
    """

    reason: reasons.Reason
    step: str
    peer: str = ""
    detail: str = ""

    def __bool__(self) -> bool:
        """Return False, so that ``if result`` tells success from failure."""
        return False

    def __str__(self) -> str:
        """Return one line for logs."""
        where = f" at {self.peer}" if self.peer else ""
        more = f": {self.detail}" if self.detail else ""
        return f"{self.step}{where}: {self.reason}{more}"
