"""Fake upstream that speaks CoAP."""

from __future__ import annotations

import collections
import functools
from typing import TYPE_CHECKING

import aiocoap

from limpetreel.coap import header, message_type
from limpetreel.measure import fake_upstream

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from limpetreel.measure import event_queue, upstream_profile
    from limpetreel.wire import address

    Sender = Callable[["address.Address", bytes], None]

SERVICE_TIME_SIGMA = 0.3


class CoapUpstream:
    """Runs requests of its agent on a fake upstream and counts the runs.

    Parameters
    ----------
    name : str
        Name in its answers.
    queue : EventQueue
        Clock and events.
    profile : UpstreamProfile
        What it bears.
    rng : random.Random
        Source of service times.
    sender : callable
        Hands an answer for a caller to the agent.
    """

    def __init__(
        self,
        name: str,
        queue: event_queue.EventQueue,
        profile: upstream_profile.UpstreamProfile,
        rng: random.Random,
        sender: Sender,
    ) -> None:
        self.name = name
        self.run_id = "run"
        self.executor = fake_upstream.FakeUpstream(profile)
        self.executor.start(queue.now)
        self.runs: collections.Counter[str] = collections.Counter()
        self.busy_s = 0.0
        self.last_packet_at = float("-inf")
        self._queue = queue
        self._profile = profile
        self._rng = rng
        self._sender = sender
        self._count = 0
        self._open: dict[int, tuple[address.Address, bytes, str]] = {}

    def receive(self, caller: address.Address, datagram: bytes) -> None:
        """Take a datagram of the agent."""
        self.last_packet_at = self._queue.now
        head = header.read(datagram)
        if not isinstance(head, header.Header) or not head.is_request:
            return
        key = aiocoap.Message.decode(datagram).payload.decode()
        shift = -(SERVICE_TIME_SIGMA**2) / 2
        units = self._rng.lognormvariate(shift, SERVICE_TIME_SIGMA)
        self._count += 1
        number = self._count
        now = self._queue.now
        arrival = self.executor.arrive(now, number, units)
        if arrival is fake_upstream.Arrival.SHED:
            self._answer(caller, head, int(aiocoap.SERVICE_UNAVAILABLE), b"shed")
            return
        # A request that makes the upstream fall over has run in part.
        self.runs[key] += 1
        if arrival is fake_upstream.Arrival.ACCEPTED:
            self.busy_s += units * self._profile.service_seconds
            self._schedule(number, caller, head, key)

    def _schedule(
        self, number: int, caller: address.Address, head: header.Header, key: str
    ) -> None:
        finish_at = self.executor.finish_at.get(number)
        retry = functools.partial(self._schedule, number, caller, head, key)
        if finish_at is None:
            # It waits in the backlog; look again soon.
            if self.executor.has_request(number):
                self._queue.after(self._profile.service_seconds / 4, retry)
            return
        done = functools.partial(self._complete, number, caller, head, key, finish_at)
        self._queue.at(finish_at, done)

    def _complete(
        self,
        number: int,
        caller: address.Address,
        head: header.Header,
        key: str,
        finish_at: float,
    ) -> None:
        if self.executor.complete(self._queue.now, number, finish_at):
            payload = f"{self.name} {key}".encode()
            self._answer(caller, head, int(aiocoap.CONTENT), payload)
        elif self.executor.has_request(number):
            self._schedule(number, caller, head, key)

    def _answer(
        self, caller: address.Address, head: header.Header, code: int, payload: bytes
    ) -> None:
        first = 1 << 6 | message_type.MessageType.ACK << 4 | len(head.token)
        fixed = header.FIXED.pack(first, code, head.message_id)
        self._sender(caller, fixed + head.token + b"\xff" + payload)
