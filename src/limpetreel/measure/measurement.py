"""Result of a measurement."""

from __future__ import annotations

import msgspec


class Measurement(msgspec.Struct, frozen=True):
    """Measured value with its bound and the value of the baseline on the same input.

    Attributes
    ----------
    measure : str
        Name of the measure.
    value : float
        Value of the measured code.
    unit : str
        Unit of the value.
    bound : float or None
        Stated target; None where the value only explains another one or has none.
    baseline : float or None
        Value of the baseline; None where the measure does not apply to it.
    seed : int
        Seed of the input.
    deployment : str
        Name of the measured deployment.
    """

    measure: str
    value: float
    unit: str
    bound: float | None
    baseline: float | None
    seed: int
    deployment: str
