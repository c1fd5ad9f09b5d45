"""Result of one request of a load caller."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.workload import outcome


@dataclasses.dataclass(frozen=True)
class Reply:
    """How one request ended.

    Attributes
    ----------
    key : str
        Name of the request, unique in the run.
    idempotent : bool
        Whether it was a GET.
    outcome : Outcome
        How it ended.
    upstream : str
        Name of the upstream that answered, empty without an answer.
    seconds : float
        Time from the first datagram to the answer.
    """

    key: str
    idempotent: bool
    outcome: outcome.Outcome
    upstream: str
    seconds: float
