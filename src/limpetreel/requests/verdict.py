"""What the request log says about a request."""

from __future__ import annotations

import enum

import msgspec

from limpetreel.requests import outcome as outcomes


class Kind(enum.StrEnum):
    """Whether a request is new."""

    NEW = "new"
    OPEN = "open"
    REPEATED = "repeated"
    FULL = "full"


class Verdict(msgspec.Struct, frozen=True):
    """Result of looking a request up.

    Attributes
    ----------
    kind : Kind
        NEW requests are to be handled, OPEN ones ignored, REPEATED ones answered
        as before, FULL ones refused with `RequestLog.refuse`.
    outcome : Outcome or None
        Recorded outcome of a REPEATED request.
    answer : bytes
        Recorded answer of a REPEATED request. Empty with outcome ANSWERED if the
        answer was too large to keep; the caller is then told UNKNOWN.
    """

    kind: Kind
    outcome: outcomes.Outcome | None = None
    answer: bytes = b""
