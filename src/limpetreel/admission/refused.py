"""Decision to refuse a request that has been waiting."""

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
        Why, and when to retry.
    """

    request_id: int
    refusal: refusal.Refusal
