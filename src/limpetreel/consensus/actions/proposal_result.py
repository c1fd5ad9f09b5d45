"""Outcome of a proposal."""

from __future__ import annotations

import msgspec

from limpetreel.core import failure


class ProposalResult(msgspec.Struct, frozen=True, tag="proposal_result"):
    """Outcome of a proposal.

    Attributes
    ----------
    proposal_id : int
        The proposal.
    result : int or Failure
        Index of the accepted entry, or why there is none. Reason `TIMEOUT` means
        that the outcome is unknown; after any other reason, the proposal was not
        accepted and never will be.
    """

    proposal_id: int
    result: int | failure.Failure
