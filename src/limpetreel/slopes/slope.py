"""Linear fit of a measured value against the size."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping


class Slope(msgspec.Struct, frozen=True):
    """Values measured at several sizes and the line fitted to them.

    Attributes
    ----------
    name : str
        Role and measured quantity.
    per : str
        Meaning of the sizes.
    sizes, values : tuple of float
        Sizes and the value measured at each size.
    unit : str
        Unit of the values.
    slope : float
        Fitted value per unit of size.
    intercept : float
        Fitted value at size 0.
    design_size : float
        Size expected within two years.
    at_design : float
        Value of the line at the design size; computed, not measured.
    """

    name: str
    per: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    unit: str
    slope: float
    intercept: float
    design_size: float
    at_design: float


def fit(
    name: str,
    per: str,
    unit: str,
    points: Mapping[int, float] | Mapping[float, float],
    design_size: float,
) -> Slope:
    """Fit a least-squares line to measured values.

    Parameters
    ----------
    name, per, unit : str
        As the attributes of `Slope`.
    points : mapping of float to float
        Value by size; at least two sizes.
    design_size : float
        Size for which the line is evaluated.
    """
    sizes, values = tuple(points), tuple(points.values())
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    sum_xx = sum((s - mean_size) ** 2 for s in sizes)
    sum_xy = sum(
        (s - mean_size) * (v - mean_value) for s, v in zip(sizes, values, strict=True)
    )
    slope = sum_xy / sum_xx
    intercept = mean_value - slope * mean_size
    return Slope(
        name,
        per,
        sizes,
        tuple(_rounded(v) for v in values),
        unit,
        _rounded(slope),
        _rounded(intercept),
        design_size,
        _rounded(intercept + slope * design_size),
    )


def _rounded(value: float) -> float:
    """Round to five significant digits; the measurements are not more precise."""
    return float(f"{value:.5g}")
