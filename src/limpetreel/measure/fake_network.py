"""Network between fake processes: latency, loss, duplicates, reordering and cuts."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from limpetreel.measure import event_queue
    from limpetreel.wire import address

LATE_SECONDS = 0.5
"""Longest extra time under way of a late frame; section 9 allows for 1 s."""

Receiver = Callable[["address.Address", bytes], None]


class FakeNetwork:
    """Delivers frames between addresses.

    Parameters
    ----------
    queue : EventQueue
        Clock and events.
    rng : random.Random
        Source of loss and jitter.
    one_way_s : float
        Latency between zones in seconds; a tenth of it within a zone.
    loss : float
        Probability that a frame is lost; the same for a duplicate.
    """

    def __init__(
        self,
        queue: event_queue.EventQueue,
        rng: random.Random,
        one_way_s: float,
        loss: float = 0.0,
    ) -> None:
        self._queue = queue
        self._rng = rng
        self._one_way_s = one_way_s
        self.loss = loss
        self.late_probability = 0.0
        """Probability that a frame is late, and so overtaken by others."""
        self._receivers: dict[address.Address, tuple[str, Receiver]] = {}
        self._zones: dict[address.Address, str] = {}
        self.partitions: set[frozenset[str]] = set()
        self.sent_bytes: dict[address.Address, int] = {}

    def attach(self, where: address.Address, zone: str, receiver: Receiver) -> None:
        """Deliver frames for an address to a receiver."""
        self._receivers[where] = zone, receiver
        self._zones[where] = zone

    def detach(self, where: address.Address) -> None:
        """Lose frames for an address from now on."""
        self._receivers.pop(where, None)

    def is_partitioned(self, zone: str, other: str) -> bool:
        """Return whether nothing passes between two zones."""
        return frozenset((zone, other)) in self.partitions

    def delay(self, zone: str, other: str) -> float:
        """Return a latency in seconds between two zones."""
        base = self._one_way_s if zone != other else self._one_way_s / 10
        extra = 0.0
        if self.late_probability and self._rng.random() < self.late_probability:
            extra = self._rng.uniform(0, LATE_SECONDS)
        return base * self._rng.uniform(0.8, 1.4) + extra

    def send(
        self, source: address.Address, target: address.Address, sent: bytes
    ) -> None:
        """Send a frame; it may be lost, repeated or reordered."""
        self.sent_bytes[source] = self.sent_bytes.get(source, 0) + len(sent)
        zone = self._zones[source]
        other = self._zones.get(target, "")
        if self.is_partitioned(zone, other) or self._rng.random() < self.loss:
            return
        copies = 2 if self._rng.random() < self.loss else 1
        for _ in range(copies):
            deliver = functools.partial(self._deliver, source, target, sent)
            self._queue.after(self.delay(zone, other), deliver)

    def _deliver(
        self, source: address.Address, target: address.Address, sent: bytes
    ) -> None:
        found = self._receivers.get(target)
        if found is not None:
            found[1](source, sent)
