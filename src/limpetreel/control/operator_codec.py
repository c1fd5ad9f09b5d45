"""Authorisation of operator requests."""

from __future__ import annotations

import hashlib
import hmac

from limpetreel.core import failure, reason

TAG_BYTES = 16
MAX_BYTES = 16 * 1_048_576
"""The table as JSON takes more than 1 MiB at the design size."""


class OperatorCodec:
    """Signs and checks operator requests and their answers.

    A replayed request is harmless: commands carry an id, and applying one a second
    time returns the first answer.

    Parameters
    ----------
    key : bytes
        Operator key.
    """

    def __init__(self, key: bytes) -> None:
        self._key = hashlib.blake2b(key, digest_size=32).digest()

    def seal(self, body: bytes) -> bytes:
        """Return a body with its tag."""
        return self._tag(body) + body

    def open(self, data: bytes) -> bytes | failure.Failure:
        """Return the body if its tag is right."""
        if not TAG_BYTES <= len(data) <= MAX_BYTES:
            return failure.Failure(reason.Reason.MALFORMED, "operator.open")
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            return failure.Failure(reason.Reason.DENIED, "operator.open")
        return body

    def _tag(self, body: bytes) -> bytes:
        digest = hashlib.blake2b(body, digest_size=TAG_BYTES, key=self._key)
        return digest.digest()
