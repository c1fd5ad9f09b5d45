"""Kinds of requests that a route carries."""

from __future__ import annotations

import enum


class RequestKind(enum.StrEnum):
    """Kind of request, which decides whether a caller may retry a failed one."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    DOWNLOAD = "download"
