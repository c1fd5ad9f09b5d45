"""Requests of operators over TCP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pynng

from limpetreel.control import operator_answers, operator_codec
from limpetreel.core import failure

WORKERS = 64
"""Requests answered at the same time; others wait in the socket."""
ANSWER_TIMEOUT_SECONDS = 10.0
MAX_RECEIVED_BYTES = 1_048_576
"""The socket drops larger messages; the core refuses smaller ones with a reason."""

Handler = Callable[[int, bytes], None]
Refuse = Callable[[str, object, str], None]


class OperatorServer:
    """Receives authorised requests and sends their answers.

    Parameters
    ----------
    codec : OperatorCodec
        Authorisation.
    handler : callable
        Called with the number and the body of each request; `answer` is called
        with the same number later.
    listen : tuple of (str, int)
        Own address.
    refuse : callable
        Called with step, peer and reason of a request that is not authorised.
    """

    def __init__(
        self,
        codec: operator_codec.OperatorCodec,
        handler: Handler,
        listen: tuple[str, int],
        refuse: Refuse = lambda step, peer, reason: None,
    ) -> None:
        self._refuse = refuse
        self._codec = codec
        self._handler = handler
        self._sock = pynng.Rep0(
            listen=f"tcp://{listen[0]}:{listen[1]}",
            recv_max_size=MAX_RECEIVED_BYTES,
        )
        self._next_id = 0
        self._waiting: dict[int, asyncio.Future[bytes]] = {}
        self.denied = 0

    async def serve(self) -> None:
        """Answer requests until closed."""
        await asyncio.gather(*(self._work() for _ in range(WORKERS)))

    def answer(self, call_id: int, body: bytes) -> None:
        """Answer a request; ignored if the request has timed out."""
        fut = self._waiting.get(call_id)
        if fut is not None and not fut.done():
            fut.set_result(body)

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()

    async def _work(self) -> None:
        try:
            with self._sock.new_context() as context:
                while True:
                    data = await context.arecv()
                    await context.asend(self._codec.seal(await self._reply(data)))
        except pynng.Closed:
            return

    async def _reply(self, data: bytes) -> bytes:
        body = self._codec.open(data)
        if isinstance(body, failure.Failure):
            self.denied += 1
            self._refuse(body.step, "", body.reason)
            return operator_answers.status_answer(operator_answers.DENIED)
        self._next_id += 1
        call_id = self._next_id
        fut: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._waiting[call_id] = fut
        self._handler(call_id, body)
        try:
            return await asyncio.wait_for(fut, ANSWER_TIMEOUT_SECONDS)
        except TimeoutError:
            detail = f"no decision within {ANSWER_TIMEOUT_SECONDS:g} s"
            return operator_answers.status_answer(operator_answers.UNKNOWN, detail)
        finally:
            del self._waiting[call_id]
