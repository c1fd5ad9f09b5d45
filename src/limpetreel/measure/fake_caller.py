"""Simulated callers that speak CoAP and record the outcomes of their requests."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import aiocoap
import msgspec

from limpetreel.coap import header
from limpetreel.requests import outcome as outcomes

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from limpetreel.measure import event_queue
    from limpetreel.wire import address

    Sender = Callable[["FakeCaller", bytes], None]

ACK_SECONDS = 2.0
"""ACK_TIMEOUT of RFC 7252."""
MAX_RETRANSMITS = 4
MAX_RETRIES = 2
"""Number of retries of a refused request, each after the Max-Age of the refusal."""

RETRY_JITTER_RATIO = 1.5
"""Longest delay before a retry, as a ratio of Max-Age."""
_NOT_RUN = int(aiocoap.SERVICE_UNAVAILABLE)
_UNKNOWN = int(aiocoap.GATEWAY_TIMEOUT)


class CallerRequest(msgspec.Struct):
    """Request of a caller, with the outcomes that the caller received.

    Attributes
    ----------
    key : str
        Name of the request.
    idempotent : bool
        Whether the request may run twice.
    sent_at : float
        Time of the first transmission in seconds.
    received_outcomes : list of Outcome
        Outcomes in order of arrival.
    answered_at : float
        Arrival time of the first outcome in seconds; infinity before.
    upstream : str
        Name of the upstream that answered.
    is_foreign : bool
        Whether an answer to another request arrived for this one.
    retries : int
        Number of retries before this request.
    retry : CallerRequest or None
        Request that the caller sent after this one was refused.
    """

    key: str
    idempotent: bool
    sent_at: float
    received_outcomes: list[outcomes.Outcome] = []
    answered_at: float = float("inf")
    upstream: str = ""
    is_foreign: bool = False
    retries: int = 0
    retry: CallerRequest | None = None


class FakeCaller:
    """Caller with one address that uses one class.

    Parameters
    ----------
    queue : EventQueue
        Clock and event queue.
    own_address : Address
        Address of the caller.
    class_id : int
        Class that the caller uses.
    sender : callable
        Sends a datagram to the network fabric in front of the entries.
    rng : random.Random
        Source of tokens and jitter.
    """

    def __init__(
        self,
        queue: event_queue.EventQueue,
        own_address: address.Address,
        class_id: int,
        sender: Sender,
        rng: random.Random,
    ) -> None:
        self.address = own_address
        self.class_id = class_id
        self.requests: list[CallerRequest] = []
        self._queue = queue
        self._sender = sender
        self._rng = rng
        self._message_id = rng.randrange(0x10000)
        self._open: dict[bytes, CallerRequest] = {}

    def request(self, idempotent: bool, retries: int = 0) -> CallerRequest:
        """Send a new request and retransmit it until an outcome arrives."""
        source = f"{self.address.ip}-{self.address.port}"
        key = f"{self.class_id}-{source}-{len(self.requests)}"
        request = CallerRequest(key, idempotent, self._queue.now, retries=retries)
        self.requests.append(request)
        self._message_id = (self._message_id + 1) % 0x10000
        token = self._rng.randbytes(4)
        self._open[token] = request
        datagram = build_request(key, idempotent, self._message_id, token)
        timeout = ACK_SECONDS * self._rng.uniform(1, 1.5)
        self._send(request, datagram, timeout, MAX_RETRANSMITS)
        return request

    def receive(self, datagram: bytes) -> None:
        """Handle an answer."""
        head = header.read(datagram)
        request = self._open.get(getattr(head, "token", b""))
        if not isinstance(head, header.Header) or request is None or head.is_empty:
            return
        request_outcome = outcomes.Outcome.ANSWERED
        if head.code == _NOT_RUN:
            request_outcome = outcomes.Outcome.NOT_RUN
        elif head.code == _UNKNOWN:
            request_outcome = outcomes.Outcome.UNKNOWN
        if not request.received_outcomes:
            request.answered_at = self._queue.now
            if (
                request_outcome is outcomes.Outcome.NOT_RUN
                and request.retries < MAX_RETRIES
            ):
                self._schedule_retry(request, datagram)
        request.received_outcomes.append(request_outcome)
        if request_outcome is outcomes.Outcome.ANSWERED:
            payload = aiocoap.Message.decode(datagram).payload.decode()
            request.upstream, _, key = payload.partition(" ")
            request.is_foreign = request.is_foreign or key != request.key

    def _schedule_retry(self, refused: CallerRequest, datagram: bytes) -> None:
        max_age = aiocoap.Message.decode(datagram).opt.max_age or 0
        wait = max_age * self._rng.uniform(1.0, RETRY_JITTER_RATIO)
        self._queue.after(wait, functools.partial(self._retry, refused))

    def _retry(self, refused: CallerRequest) -> None:
        refused.retry = self.request(refused.idempotent, refused.retries + 1)

    def _send(
        self,
        request: CallerRequest,
        datagram: bytes,
        timeout: float,
        retransmits_left: int,
    ) -> None:
        if request.received_outcomes:
            return
        self._sender(self, datagram)
        if retransmits_left:
            retransmit = functools.partial(
                self._send, request, datagram, timeout * 2, retransmits_left - 1
            )
            self._queue.after(timeout, retransmit)


def build_request(key: str, idempotent: bool, message_id: int, token: bytes) -> bytes:
    """Return the datagram of a request whose payload is its key."""
    code = aiocoap.GET if idempotent else aiocoap.POST
    message = aiocoap.Message(code=code, payload=key.encode(), mtype=aiocoap.CON)
    message.mid = message_id
    message.token = token
    return message.encode()
