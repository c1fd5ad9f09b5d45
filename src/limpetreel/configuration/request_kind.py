"""Kinds of requests that a route carries."""

from __future__ import annotations

import enum


class RequestKind(enum.StrEnum):
    """Kind of request, which decides whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"
    UPLOAD = "upload"

    @classmethod
    def _missing_(cls, value: object) -> RequestKind:
        """Return the kind for a word of a later release or of an operator.

        `NON_IDEMPOTENT` forbids most, so a request of an unknown kind never runs twice.
        """
        return cls.NON_IDEMPOTENT

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self in (RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD)
