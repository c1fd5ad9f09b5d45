"""Simulated upstream that speaks CoAP."""

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
    """Runs the requests of its agent on a `FakeUpstream` and counts the runs.

    Parameters
    ----------
    name : str
        Name in the payload of its answers.
    queue : EventQueue
        Clock and event queue.
    profile : UpstreamProfile
        Capacity and service times.
    rng : random.Random
        Source of service times.
    sender : callable
        Sends an answer for a caller to the agent.
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
        self._request_count = 0
        self._open: dict[int, tuple[address.Address, bytes, str]] = {}

    def receive(self, caller: address.Address, datagram: bytes) -> None:
        """Handle a datagram from the agent."""
        self.last_packet_at = self._queue.now
        head = header.read(datagram)
        if not isinstance(head, header.Header) or not head.is_request:
            return
        key = aiocoap.Message.decode(datagram).payload.decode()
        log_mean = -(SERVICE_TIME_SIGMA**2) / 2
        units = self._rng.lognormvariate(log_mean, SERVICE_TIME_SIGMA)
        self._request_count += 1
        request_number = self._request_count
        now = self._queue.now
        arrival = self.executor.arrive(now, request_number, units)
        if arrival is fake_upstream.Arrival.SHED:
            self._answer(caller, head, int(aiocoap.SERVICE_UNAVAILABLE), b"shed")
            return
        # A request that crashes the upstream has run in part.
        self.runs[key] += 1
        if arrival is fake_upstream.Arrival.ACCEPTED:
            self.busy_s += units * self._profile.service_seconds
            self._schedule(request_number, caller, head, key)

    def _schedule(
        self,
        request_number: int,
        caller: address.Address,
        head: header.Header,
        key: str,
    ) -> None:
        finish_at = self.executor.finish_at.get(request_number)
        reschedule = functools.partial(
            self._schedule, request_number, caller, head, key
        )
        if finish_at is None:
            # The request waits in the backlog: check again soon.
            if self.executor.has_request(request_number):
                self._queue.after(self._profile.service_seconds / 4, reschedule)
            return
        complete = functools.partial(
            self._complete, request_number, caller, head, key, finish_at
        )
        self._queue.at(finish_at, complete)

    def _complete(
        self,
        request_number: int,
        caller: address.Address,
        head: header.Header,
        key: str,
        finish_at: float,
    ) -> None:
        if self.executor.complete(self._queue.now, request_number, finish_at):
            payload = f"{self.name} {key}".encode()
            self._answer(caller, head, int(aiocoap.CONTENT), payload)
        elif self.executor.has_request(request_number):
            self._schedule(request_number, caller, head, key)

    def _answer(
        self, caller: address.Address, head: header.Header, code: int, payload: bytes
    ) -> None:
        first = 1 << 6 | message_type.MessageType.ACK << 4 | len(head.token)
        fixed = header.FIXED.pack(first, code, head.message_id)
        self._sender(caller, fixed + head.token + b"\xff" + payload)
