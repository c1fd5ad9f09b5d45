"""Callers that speak CoAP and remember what they were told."""

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
MAX_RETURNS = 2
"""Times that a caller that was refused comes back after the Max-Age of the refusal."""

RETURN_JITTER = 1.5
"""Largest wait before coming back, over Max-Age."""
_NOT_RUN = int(aiocoap.SERVICE_UNAVAILABLE)
_UNKNOWN = int(aiocoap.GATEWAY_TIMEOUT)


class CallerRequest(msgspec.Struct):
    """One request and what its caller was told.

    Attributes
    ----------
    key : str
        Name of the request.
    idempotent : bool
        Whether it may run twice.
    sent_at : float
        When it was first sent, in seconds.
    received_outcomes : list of Outcome
        Outcomes in the order in which they arrived.
    answered_at : float
        When the first outcome arrived, in seconds; infinity before.
    upstream : str
        Name of the upstream that answered.
    is_foreign : bool
        Whether an answer to another request arrived.
    returns : int
        How often the caller had come back when it sent this request.
    later : CallerRequest or None
        Request with which the caller came back, which may have been answered.
    """

    key: str
    idempotent: bool
    sent_at: float
    received_outcomes: list[outcomes.Outcome] = []
    answered_at: float = float("inf")
    upstream: str = ""
    is_foreign: bool = False
    returns: int = 0
    later: CallerRequest | None = None


class FakeCaller:
    """One caller address, for one class.

    Parameters
    ----------
    queue : EventQueue
        Clock and events.
    where : Address
        Address of the caller.
    class_id : int
        Class that it uses.
    sender : callable
        Hands a datagram to the fabric.
    rng : random.Random
        Source of tokens and jitter.
    """

    def __init__(
        self,
        queue: event_queue.EventQueue,
        where: address.Address,
        class_id: int,
        sender: Sender,
        rng: random.Random,
    ) -> None:
        self.address = where
        self.class_id = class_id
        self.requests: list[CallerRequest] = []
        self._queue = queue
        self._sender = sender
        self._rng = rng
        self._message_id = rng.randrange(0x10000)
        self._open: dict[bytes, CallerRequest] = {}

    def request(self, idempotent: bool, returns: int = 0) -> CallerRequest:
        """Send a new request and repeat it until it is answered."""
        source = f"{self.address.ip}-{self.address.port}"
        key = f"{self.class_id}-{source}-{len(self.requests)}"
        made = CallerRequest(key, idempotent, self._queue.now, returns=returns)
        self.requests.append(made)
        self._message_id = (self._message_id + 1) % 0x10000
        token = self._rng.randbytes(4)
        self._open[token] = made
        datagram = build_request(key, idempotent, self._message_id, token)
        timeout = ACK_SECONDS * self._rng.uniform(1, 1.5)
        self._send(made, datagram, timeout, MAX_RETRANSMITS)
        return made

    def receive(self, datagram: bytes) -> None:
        """Take an answer."""
        head = header.read(datagram)
        found = self._open.get(getattr(head, "token", b""))
        if not isinstance(head, header.Header) or found is None or head.is_empty:
            return
        result = outcomes.Outcome.ANSWERED
        if head.code == _NOT_RUN:
            result = outcomes.Outcome.NOT_RUN
        elif head.code == _UNKNOWN:
            result = outcomes.Outcome.UNKNOWN
        if not found.received_outcomes:
            found.answered_at = self._queue.now
            if result is outcomes.Outcome.NOT_RUN and found.returns < MAX_RETURNS:
                self._come_back(found, datagram)
        found.received_outcomes.append(result)
        if result is outcomes.Outcome.ANSWERED:
            payload = aiocoap.Message.decode(datagram).payload.decode()
            found.upstream, _, key = payload.partition(" ")
            found.is_foreign = found.is_foreign or key != found.key

    def _come_back(self, refused: CallerRequest, datagram: bytes) -> None:
        max_age = aiocoap.Message.decode(datagram).opt.max_age or 0
        wait = max_age * self._rng.uniform(1.0, RETURN_JITTER)
        self._queue.after(wait, functools.partial(self._again, refused))

    def _again(self, refused: CallerRequest) -> None:
        refused.later = self.request(refused.idempotent, refused.returns + 1)

    def _send(
        self, made: CallerRequest, datagram: bytes, timeout: float, left: int
    ) -> None:
        if made.received_outcomes:
            return
        self._sender(self, datagram)
        if left:
            again = functools.partial(self._send, made, datagram, timeout * 2, left - 1)
            self._queue.after(timeout, again)


def build_request(key: str, idempotent: bool, message_id: int, token: bytes) -> bytes:
    """Return the datagram of a request whose payload names it."""
    code = aiocoap.GET if idempotent else aiocoap.POST
    message = aiocoap.Message(code=code, payload=key.encode(), mtype=aiocoap.CON)
    message.mid = message_id
    message.token = token
    return message.encode()
