"""Caller that sends CoAP requests one at a time."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import aiocoap

from limpetreel.runtime import udp_socket
from limpetreel.workload import outcome, reply

if TYPE_CHECKING:
    import random

ACK_TIMEOUT_SECONDS = 0.5
"""Shorter than the 2 s of RFC 7252, to limit the length of a demonstration."""
MAX_RETRANSMITS = 4


class Caller:
    """Caller with its own socket, whose packets form one flow.

    Parameters
    ----------
    name : str
        Prefix of the keys of its requests.
    address : tuple of (str, int)
        Public address of the class.
    rng : random.Random
        Source of message ids, tokens and jitter.

    Attributes
    ----------
    foreign_answers : int
        Number of answers that belonged to another request.
    """

    def __init__(self, name: str, address: tuple[str, int], rng: random.Random) -> None:
        self.name = name
        self._address = address
        self._rng = rng
        self._message_id = rng.randrange(0x10000)
        self._count = 0
        self._pending: dict[bytes, asyncio.Future[aiocoap.Message]] = {}
        self.foreign_answers = 0
        self._sock = udp_socket.UdpSocket(self._receive, "127.0.0.1")

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()

    async def request(self, idempotent: bool) -> reply.Reply:
        """Send one request, retransmit it until it is answered, return the result."""
        self._count += 1
        key = f"{self.name}-{self._count}"
        token = self._rng.randbytes(4)
        datagram = self._build_request(key, token, idempotent)
        fut: asyncio.Future[aiocoap.Message] = asyncio.Future()
        self._pending[token] = fut
        started_at = time.monotonic()
        answer = await self._exchange(datagram, fut)
        del self._pending[token]
        seconds = time.monotonic() - started_at
        if answer is None:
            result = outcome.Outcome.NO_ANSWER
            return reply.Reply(key, idempotent, result, "", seconds)
        result = _outcome(answer)
        upstream, _, answered_key = answer.payload.decode().partition(" ")
        if result is not outcome.Outcome.ANSWERED:
            upstream = ""
        elif answered_key != key:
            self.foreign_answers += 1
        return reply.Reply(key, idempotent, result, upstream, seconds)

    async def _exchange(
        self, datagram: bytes, fut: asyncio.Future[aiocoap.Message]
    ) -> aiocoap.Message | None:
        timeout = ACK_TIMEOUT_SECONDS * self._rng.uniform(1, 1.5)
        for _ in range(MAX_RETRANSMITS + 1):
            self._sock.send(datagram, self._address)
            done, _ = await asyncio.wait([fut], timeout=timeout)
            if done:
                return fut.result()
            timeout *= 2
        return None

    def _build_request(self, key: str, token: bytes, idempotent: bool) -> bytes:
        self._message_id = (self._message_id + 1) % 0x10000
        message = aiocoap.Message(
            code=aiocoap.GET if idempotent else aiocoap.POST,
            payload=b"" if idempotent else key.encode(),
        )
        message.opt.uri_path = ("work",)
        if idempotent:
            message.opt.uri_query = (key,)
        message.mtype = aiocoap.CON
        message.mid = self._message_id
        message.token = token
        return message.encode()

    def _receive(self, data: bytes, _: tuple[str, int]) -> None:
        message = aiocoap.Message.decode(data)
        if message.mtype == aiocoap.CON:
            self._acknowledge(message.mid)
        fut = self._pending.get(message.token)
        if message.code.is_response() and fut is not None and not fut.done():
            fut.set_result(message)

    def _acknowledge(self, message_id: int) -> None:
        message = aiocoap.Message(code=aiocoap.EMPTY, mtype=aiocoap.ACK)
        message.mid = message_id
        message.token = b""
        self._sock.send(message.encode(), self._address)


def _outcome(answer: aiocoap.Message) -> outcome.Outcome:
    if answer.code == aiocoap.SERVICE_UNAVAILABLE:
        return outcome.Outcome.NOT_RUN
    if answer.code == aiocoap.GATEWAY_TIMEOUT:
        return outcome.Outcome.UNKNOWN
    return outcome.Outcome.ANSWERED
