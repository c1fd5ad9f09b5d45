"""Connection of operator commands to control."""

from __future__ import annotations

import time
from typing import Any

import msgspec
import pynng

from limpetreel.control import operator_answers, operator_codec
from limpetreel.core import failure, reason

TIMEOUT_MS = 3000
ELECTION_SECONDS = 3.0
"""An election takes less than 1 s; until one ends nobody is leader."""
RETRY_SECONDS = 0.1


class OperatorClient:
    """Sends requests to the control instances, one after the other.

    Parameters
    ----------
    addresses : tuple of (str, int)
        Operator addresses of the control instances.
    key : bytes
        Operator key.
    """

    def __init__(self, addresses: tuple[tuple[str, int], ...], key: bytes) -> None:
        self._addresses = addresses
        self._codec = operator_codec.OperatorCodec(key)

    def call(self, body: dict[str, Any]) -> dict[str, Any] | failure.Failure:
        """Return the answer to a request, or why there is none.

        Parameters
        ----------
        body : dict
            Request with its kind under ``type``.
        """
        data = self._codec.seal(msgspec.json.encode(body))
        until = time.monotonic() + ELECTION_SECONDS
        while True:
            is_late = time.monotonic() > until
            found = failure.Failure(reason.Reason.TIMEOUT, "operator.call")
            is_leaderless = False
            for host, port in self._addresses:
                answer = self._ask(f"tcp://{host}:{port}", data)
                if isinstance(answer, failure.Failure):
                    found = answer
                elif answer.get("status") == operator_answers.NOT_LEADER:
                    is_leaderless = True
                    found = failure.Failure(
                        reason.Reason.NOT_LEADER, "operator.call", f"{host}:{port}"
                    )
                else:
                    return answer
            # An instance that is down says nothing of the election among the others,
            # and waiting for it may take as long as the election.
            if not is_leaderless or is_late:
                return found
            time.sleep(RETRY_SECONDS)

    def _ask(self, url: str, data: bytes) -> dict[str, Any] | failure.Failure:
        try:
            with pynng.Req0(
                send_timeout=TIMEOUT_MS,
                recv_timeout=TIMEOUT_MS,
                recv_max_size=operator_codec.MAX_BYTES,
            ) as sock:
                sock.dial(url, block=False)
                sock.send(data)
                body = self._codec.open(sock.recv())
        except pynng.NNGException as exc:
            return failure.Failure(
                reason.Reason.TIMEOUT, "operator.call", url, str(exc)
            )
        if isinstance(body, failure.Failure):
            return body
        try:
            return msgspec.json.decode(body, type=dict[str, Any])
        except (msgspec.DecodeError, RecursionError) as exc:
            return failure.Failure(
                reason.Reason.MALFORMED, "operator.call", url, str(exc)
            )
