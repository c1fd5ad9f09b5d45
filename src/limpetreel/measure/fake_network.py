"""Simulated network with latency, loss, duplicates, reordering and partitions."""

from __future__ import annotations

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from limpetreel.measure import event_queue
    from limpetreel.wire import address

MAX_EXTRA_DELAY_SECONDS = 0.5
"""Longest extra delay of a late frame; the protocol allows for 1 s."""

Receiver = Callable[["address.Address", bytes], None]


class FakeNetwork:
    """Delivers frames between addresses.

    Parameters
    ----------
    queue : EventQueue
        Clock and event queue.
    rng : random.Random
        Source of loss and jitter.
    one_way_s : float
        One-way latency between zones in seconds; a tenth of it within a zone.
    loss : float
        Probability that a frame is lost, and also that one is duplicated.
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
        """Probability that a frame is delayed further, so that others overtake it."""
        self._receivers: dict[address.Address, tuple[str, Receiver]] = {}
        self._zones: dict[address.Address, str] = {}
        self.partitions: set[frozenset[str]] = set()
        self.sent_bytes: dict[address.Address, int] = {}

    def attach(
        self, node_address: address.Address, zone: str, receiver: Receiver
    ) -> None:
        """Deliver frames for an address to a receiver."""
        self._receivers[node_address] = zone, receiver
        self._zones[node_address] = zone

    def detach(self, node_address: address.Address) -> None:
        """Drop frames for an address from now on."""
        self._receivers.pop(node_address, None)

    def is_partitioned(self, zone: str, other_zone: str) -> bool:
        """Return whether two zones are partitioned from each other."""
        return frozenset((zone, other_zone)) in self.partitions

    def delay(self, zone: str, other_zone: str) -> float:
        """Return a random latency in seconds between two zones."""
        base = self._one_way_s if zone != other_zone else self._one_way_s / 10
        extra = 0.0
        if self.late_probability and self._rng.random() < self.late_probability:
            extra = self._rng.uniform(0, MAX_EXTRA_DELAY_SECONDS)
        return base * self._rng.uniform(0.8, 1.4) + extra

    def send(
        self, source: address.Address, target: address.Address, data: bytes
    ) -> None:
        """Send a frame, which may be lost, duplicated or reordered."""
        self.sent_bytes[source] = self.sent_bytes.get(source, 0) + len(data)
        zone = self._zones[source]
        other_zone = self._zones.get(target, "")
        if self.is_partitioned(zone, other_zone) or self._rng.random() < self.loss:
            return
        copies = 2 if self._rng.random() < self.loss else 1
        for _ in range(copies):
            deliver = functools.partial(self._deliver, source, target, data)
            self._queue.after(self.delay(zone, other_zone), deliver)

    def _deliver(
        self, source: address.Address, target: address.Address, data: bytes
    ) -> None:
        attached = self._receivers.get(target)
        if attached is not None:
            _, receiver = attached
            receiver(source, data)
