"""Connection of operator commands to control."""

from __future__ import annotations

import time
from typing import Any

import msgspec
import pynng

from limpetreel.control import operator_answers, operator_codec
from limpetreel.core import failure, reason

TIMEOUT_MS = 3000
ELECTION_TIMEOUT_SECONDS = 3.0
"""Longest time to retry while there is no leader; an election takes less than 1 s."""
RETRY_SECONDS = 0.1


class OperatorClient:
    """Sends requests to the control instances, trying one after the other.

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
        """Return the answer to a request, or a failure if there is none.

        Parameters
        ----------
        body : dict
            Request with its kind under ``type``.
        """
        data = self._codec.seal(msgspec.json.encode(body))
        deadline = time.monotonic() + ELECTION_TIMEOUT_SECONDS
        while True:
            is_past_deadline = time.monotonic() > deadline
            problem = failure.Failure(reason.Reason.TIMEOUT, "operator.call")
            is_leaderless = False
            for host, port in self._addresses:
                answer = self._ask(f"tcp://{host}:{port}", data)
                if isinstance(answer, failure.Failure):
                    problem = answer
                elif answer.get("status") == operator_answers.NOT_LEADER:
                    is_leaderless = True
                    problem = failure.Failure(
                        reason.Reason.NOT_LEADER, "operator.call", f"{host}:{port}"
                    )
                else:
                    return answer
            # An instance that is down does not show whether an election is under way,
            # and trying it again may take as long as an election.
            if not is_leaderless or is_past_deadline:
                return problem
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
