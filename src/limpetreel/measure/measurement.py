"""One measured figure."""

from __future__ import annotations

import msgspec


class Measurement(msgspec.Struct, frozen=True):
    """Figure with its bound and the figure of the baseline on the same input.

    Attributes
    ----------
    measure : str
        Name of the figure.
    value : float
        Figure of the current policy.
    unit : str
        Unit of the figure.
    bound : float or None
        Target; None where the figure only explains another one.
    baseline : float or None
        Figure of the baseline; None where the baseline has nothing of the kind.
    seed : int
        Seed of the input.
    deployment : str
        Deployment that was measured.
    """

    measure: str
    value: float
    unit: str
    bound: float | None
    baseline: float | None
    seed: int
    deployment: str
