"""Metrics of one process, kept without any library."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from limpetreel.telemetry import metric_source

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

_PAGE_BYTES = 4096


MAX_SAMPLES = 4096
"""Durations that wait for a scrape to load the library; the oldest are dropped and
counted."""


class Metrics:
    """Counters, durations, and sources that are read at a scrape.

    Counting costs a dictionary update, a duration an append; the library that
    renders metrics is loaded only if an address for it is set.
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
            What to add.
        labels : dict of str to str
            Labels; their values must come from a small set.
        """
        values = self._counters.setdefault(name, {})
        key = tuple(labels.items())
        values[key] = values.get(key, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Keep a duration for the next scrape.

        Parameters
        ----------
        name : str
            Name without the prefix ``limpetreel_``, with the suffix ``_seconds``.
        seconds : float
            The duration.
        """
        waiting = self._samples.setdefault(name, collections.deque())
        if len(waiting) >= MAX_SAMPLES:
            waiting.popleft()
            self.count("samples_dropped_total", 1, {"histogram": name})
        waiting.append(seconds)

    def take_samples(self) -> dict[str, list[float]]:
        """Return the durations since the last scrape."""
        found = {name: list(waiting) for name, waiting in self._samples.items()}
        for waiting in self._samples.values():
            waiting.clear()
        return found

    def add_source(
        self, name: str, text: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Add a metric that another object keeps.

        Parameters
        ----------
        name, text, label, read
            As in `metric_source.MetricSource`.
        """
        self.sources.append(metric_source.MetricSource(name, text, label, read))

    def collect(self) -> list[tuple[str, str, dict[str, str], float]]:
        """Return name, text, labels and value of every metric."""
        found = [
            (name, "", dict(key), value)
            for name, values in self._counters.items()
            for key, value in values.items()
        ]
        for source in self.sources:
            for label_value, value in source.read().items():
                labels = {source.label: str(label_value)} if source.label else {}
                found.append((source.name, source.text, labels, value))
        return found


def _read_resident_bytes() -> dict[str, float]:
    try:
        with open("/proc/self/statm") as stream:
            return {"": int(stream.read().split()[1]) * _PAGE_BYTES}
    except (OSError, ValueError):
        return {}
