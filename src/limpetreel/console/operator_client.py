"""Connection of operator commands to control."""

from __future__ import annotations

from typing import Any

import msgspec
import pynng

from limpetreel.control import operator_codec
from limpetreel.core import failure, reason

TIMEOUT_MS = 3000


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
        found = failure.Failure(reason.Reason.TIMEOUT, "operator.call")
        for host, port in self._addresses:
            answer = self._ask(f"tcp://{host}:{port}", data)
            if isinstance(answer, dict):
                return answer
            found = answer
        return found

    def _ask(self, url: str, data: bytes) -> dict[str, Any] | failure.Failure:
        try:
            with pynng.Req0(send_timeout=TIMEOUT_MS, recv_timeout=TIMEOUT_MS) as sock:
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
