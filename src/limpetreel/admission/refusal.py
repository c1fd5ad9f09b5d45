"""Failure of a request that is known not to have been sent to the upstream."""

from __future__ import annotations

from limpetreel.core import failure


class Refusal(failure.Failure, frozen=True):
    """Refusal of a request as not run, with a retry hint.

    Attributes
    ----------
    retry_after : int
        Max-Age of the 5.03 answer in seconds.
    """

    retry_after: int = 1
