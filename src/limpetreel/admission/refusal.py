"""Failure of a request that was certainly not sent to the upstream."""

from __future__ import annotations

from limpetreel.core import failure


class Refusal(failure.Failure, frozen=True):
    """Refusal as not run, with a hint when to retry.

    Attributes
    ----------
    retry_after : int
        Max-Age of the 5.03 answer in seconds.
    """

    retry_after: int = 1
