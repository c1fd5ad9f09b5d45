"""Metric that is read when it is asked for."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec


class MetricSource(msgspec.Struct, frozen=True):
    """A metric whose values another object keeps.

    Attributes
    ----------
    name : str
        Name without the prefix ``limpetreel_``; a counter if it ends in
        ``_total``, else a gauge.
    text : str
        What it measures.
    label : str
        Name of the label that tells the values apart; empty for a single value.
    read : callable
        Returns the values by label value.
    """

    name: str
    text: str
    label: str
    read: Callable[[], Mapping[str, float]]
