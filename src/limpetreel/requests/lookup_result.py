"""Result of looking up a request in the request log."""

from __future__ import annotations

import enum

import msgspec

from limpetreel.requests import outcome as outcomes


class Kind(enum.StrEnum):
    """State of a request in the log."""

    NEW = "new"
    OPEN = "open"
    REPEATED = "repeated"
    FULL = "full"


class LookupResult(msgspec.Struct, frozen=True):
    """State of a request, with its recorded outcome.

    Attributes
    ----------
    kind : Kind
        NEW requests are handled, OPEN ones ignored, REPEATED ones answered with
        the recorded outcome, and FULL ones refused with `RequestLog.refuse`.
    outcome : Outcome or None
        Recorded outcome of a REPEATED request.
    answer : bytes
        Recorded answer of a REPEATED request. Empty with outcome ANSWERED if the
        answer was too large to keep; the caller then gets UNKNOWN.
    """

    kind: Kind
    outcome: outcomes.Outcome | None = None
    answer: bytes = b""
