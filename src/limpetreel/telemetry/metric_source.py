"""Metric that is read at each scrape."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

import msgspec


class MetricSource(msgspec.Struct, frozen=True):
    """A metric whose values are stored in another object.

    Attributes
    ----------
    name : str
        Name without the prefix ``limpetreel_``; a counter if it ends in
        ``_total``, else a gauge.
    description : str
        What it measures.
    label : str
        Name of the label that distinguishes the values; empty for a single value, and
        several names are separated by commas.
    read : callable
        Returns the current value for each label value, a tuple if there are several
        labels.
    """

    name: str
    description: str
    label: str
    read: Callable[[], Mapping[Any, float]]

    def labels(self, value: Any) -> dict[str, str]:
        """Return the labels of one of the values."""
        if not self.label:
            return {}
        names = self.label.split(",")
        values = value if isinstance(value, tuple) else (value,)
        return {n: str(v) for n, v in zip(names, values, strict=True)}
