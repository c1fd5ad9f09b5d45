"""Interface of the sites that are measured."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from limpetreel.measure import coap_upstream, event_queue, fake_caller
    from limpetreel.wire import address


class MeasuredSite(abc.ABC):
    """Callers, upstreams and the balancer between them.

    Attributes
    ----------
    queue : EventQueue
        Clock and event queue.
    rng : random.Random
        Source of all random choices.
    upstreams : dict of str to CoapUpstream
        Upstreams by name.
    callers : dict of Address to FakeCaller
        Callers by address.
    packet_count : int
        Number of packets that callers have sent.
    """

    queue: event_queue.EventQueue
    rng: random.Random
    upstreams: dict[str, coap_upstream.CoapUpstream]
    callers: dict[address.Address, fake_caller.FakeCaller]
    packet_count: int

    @abc.abstractmethod
    def add_caller(self, class_id: int) -> fake_caller.FakeCaller:
        """Add a caller of a class."""

    @abc.abstractmethod
    def relay_count(self) -> int:
        """Return how many packets were relayed between agents."""
