"""Interface of the protocol that callers and upstreams speak."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.agent import answer, request, signal
    from limpetreel.core import failure


class CallerProtocol(abc.ABC):
    """Translates datagrams into typed values and back, without I/O."""

    @abc.abstractmethod
    def read_caller(
        self, datagram: bytes
    ) -> request.Request | signal.Signal | failure.Failure:
        """Read a datagram of a caller."""

    @abc.abstractmethod
    def read_upstream(
        self, datagram: bytes
    ) -> answer.Answer | signal.Signal | failure.Failure:
        """Read a datagram of an upstream."""

    @abc.abstractmethod
    def is_message(self, datagram: bytes) -> bool:
        """Return at little cost whether a datagram may be one of the protocol."""

    @abc.abstractmethod
    def replace_token(self, datagram: bytes, token: bytes) -> bytes:
        """Return the datagram with another token."""

    @abc.abstractmethod
    def with_deadline(self, datagram: bytes, deadline_ms: int) -> bytes:
        """Return the datagram with the time that is left for the request."""

    @abc.abstractmethod
    def cancellation(self, message_id: int) -> bytes:
        """Return the datagram that cancels a request at the upstream."""

    @abc.abstractmethod
    def not_run(self, req: request.Request, retry_after_s: int) -> bytes:
        """Return the answer for a request that was certainly not run."""

    @abc.abstractmethod
    def unknown(self, req: request.Request) -> bytes:
        """Return the answer for a request that may or may not have run."""

    @abc.abstractmethod
    def answer_again(self, datagram: bytes, req: request.Request) -> bytes:
        """Return a recorded answer as the answer to a repeated request."""
