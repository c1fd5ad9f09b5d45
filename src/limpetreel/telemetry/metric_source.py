"""Metric that is read at each scrape."""

from __future__ import annotations

from collections.abc import Callable, Mapping

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
        Name of the label that distinguishes the values; empty for a single value.
    read : callable
        Returns the current value for each label value.
    """

    name: str
    description: str
    label: str
    read: Callable[[], Mapping[str, float]]
