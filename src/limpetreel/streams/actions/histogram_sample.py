"""Histogram sample."""

from __future__ import annotations

import msgspec


class HistogramSample(msgspec.Struct, frozen=True, tag="observe"):
    """Add a duration to a histogram.

    Attributes
    ----------
    name : str
        Name of the histogram, with the suffix ``_seconds``.
    seconds : float
        The duration.
    """

    name: str
    seconds: float
