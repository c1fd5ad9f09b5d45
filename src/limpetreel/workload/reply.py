"""Result of one request."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.workload import outcome


@dataclasses.dataclass(frozen=True)
class Reply:
    """Result of one request as its caller saw it.

    Attributes
    ----------
    key : str
        Identifier of the request, unique in a demonstration.
    idempotent : bool
        Whether the request was a GET.
    outcome : Outcome
        Outcome of the request.
    upstream : str
        Name of the upstream that answered; empty if none did.
    seconds : float
        Time from the first datagram to the answer or to the last time-out.
    """

    key: str
    idempotent: bool
    outcome: outcome.Outcome
    upstream: str
    seconds: float
