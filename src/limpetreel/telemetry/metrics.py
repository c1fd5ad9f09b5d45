"""Metrics of one process, collected without a metrics library."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

from limpetreel.telemetry import metric_source

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

_PAGE_BYTES = 4096

MAX_SAMPLES = 4096
"""Durations kept for each histogram until the next scrape; beyond it, the oldest are
dropped and counted."""


class Metrics:
    """Counters, durations, and sources that are read at each scrape.

    A count costs a dictionary update and a duration an append. The library that
    renders metrics is loaded only if a metrics address is set.
    """

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[float]] = {}
        self._counters: dict[str, dict[tuple[tuple[str, str], ...], float]] = {}
        self.sources: list[metric_source.MetricSource] = []
        self.add_source(
            "resident_bytes", "memory of the process", "", _read_resident_bytes
        )

    def count(self, name: str, amount: float, labels: dict[str, str]) -> None:
        """Add to a counter.

        Parameters
        ----------
        name : str
            Name without the prefix ``limpetreel_``, with the suffix ``_total``.
        amount : float
            Amount to add.
        labels : dict of str to str
            Labels; their values must come from a small set, since each is a series.
        """
        values = self._counters.setdefault(name, {})
        key = tuple(labels.items())
        values[key] = values.get(key, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration for the next scrape.

        Parameters
        ----------
        name : str
            Name without the prefix ``limpetreel_``, with the suffix ``_seconds``.
        seconds : float
            The duration.
        """
        pending = self._samples.setdefault(name, collections.deque())
        if len(pending) >= MAX_SAMPLES:
            pending.popleft()
            self.count("samples_dropped_total", 1, {"histogram": name})
        pending.append(seconds)

    def take_samples(self) -> dict[str, list[float]]:
        """Return the durations since the last scrape."""
        samples = {name: list(pending) for name, pending in self._samples.items()}
        for pending in self._samples.values():
            pending.clear()
        return samples

    def add_source(
        self,
        name: str,
        description: str,
        label: str,
        read: Callable[[], Mapping[Any, float]],
    ) -> None:
        """Add a metric whose values are stored in another object.

        Parameters
        ----------
        name, description, label, read
            As in `metric_source.MetricSource`.
        """
        self.sources.append(metric_source.MetricSource(name, description, label, read))

    def collect(self) -> list[tuple[str, str, dict[str, str], float]]:
        """Return name, description, labels and value of every series."""
        series = [
            (name, "", dict(key), value)
            for name, values in self._counters.items()
            for key, value in values.items()
        ]
        for source in self.sources:
            for label_value, value in source.read().items():
                labels = source.labels(label_value)
                series.append((source.name, source.description, labels, value))
        return series


def _read_resident_bytes() -> dict[str, float]:
    try:
        with open("/proc/self/statm") as stream:
            return {"": int(stream.read().split()[1]) * _PAGE_BYTES}
    except (OSError, ValueError):
        return {}
