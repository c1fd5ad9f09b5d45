"""Interface of the protocol that callers and upstreams speak."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.agent import answer, request, signal
    from limpetreel.core import failure


class CallerProtocol(abc.ABC):
    """Decodes and encodes the datagrams of callers and upstreams, without I/O."""

    @abc.abstractmethod
    def read_caller(
        self, datagram: bytes
    ) -> request.Request | signal.Signal | failure.Failure:
        """Decode a datagram of a caller."""

    @abc.abstractmethod
    def read_upstream(
        self, datagram: bytes
    ) -> answer.Answer | signal.Signal | failure.Failure:
        """Decode a datagram of an upstream."""

    @abc.abstractmethod
    def is_message(self, datagram: bytes) -> bool:
        """Return whether a datagram looks like one of this protocol.

        This is a cheap check of the format, not a full decode.
        """

    @abc.abstractmethod
    def replace_token(self, datagram: bytes, token: bytes) -> bytes:
        """Return the datagram with its token replaced."""

    @abc.abstractmethod
    def with_deadline(self, datagram: bytes, deadline_ms: int) -> bytes:
        """Return the datagram with the remaining time limit set."""

    @abc.abstractmethod
    def encode_cancellation(self, message_id: int) -> bytes:
        """Return the datagram that cancels a request at the upstream."""

    @abc.abstractmethod
    def encode_not_run(self, req: request.Request, retry_after_s: int) -> bytes:
        """Return the answer to a request that has not run and will not run."""

    @abc.abstractmethod
    def encode_unknown(self, req: request.Request) -> bytes:
        """Return the answer to a request that may or may not have run."""

    @abc.abstractmethod
    def encode_repeated_answer(self, datagram: bytes, req: request.Request) -> bytes:
        """Return a recorded answer, addressed to a repetition of its request."""
