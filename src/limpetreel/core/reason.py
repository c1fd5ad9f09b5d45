"""Reasons that a failure can have."""

from __future__ import annotations

import enum


class Reason(enum.StrEnum):
    """Why a step did not give a result."""

    TRUNCATED = "truncated"
    OVERSIZED = "oversized"
    WRONG_VERSION = "wrong version"
    WRONG_TAG = "wrong authentication tag"
    REPLAYED = "replayed"
    WRONG_INCARNATION = "wrong incarnation"
    WRONG_CLASS = "wrong class"
    UNKNOWN_KIND = "unknown kind"
    MALFORMED = "malformed"
    NO_MEMBER = "no member"
    NO_LEASE = "no serving right"
    TOO_MANY_HOPS = "too many hops"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline cannot be met"
    TIMEOUT = "timeout"
    CONFLICT = "conflict"
    STALE = "stale"
    DENIED = "denied"
    CORRUPT = "corrupt"
    NOT_LEADER = "not leader"
