"""Kinds of requests that a route carries."""

from __future__ import annotations

import enum


class RequestKind(enum.StrEnum):
    """What a caller may do with a request that failed."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"
