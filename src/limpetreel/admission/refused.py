"""Decision to refuse a queued request."""

from __future__ import annotations

import msgspec

from limpetreel.admission import refusal


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The queued request is refused as not run.

    Attributes
    ----------
    request_id : int
        The request.
    refusal : Refusal
        Reason and retry hint.
    """

    request_id: int
    refusal: refusal.Refusal
