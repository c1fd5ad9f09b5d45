"""Outcome of a proposal."""

from __future__ import annotations

import msgspec

from limpetreel.core import failure


class ProposalResult(msgspec.Struct, frozen=True, tag="proposal_result"):
    """Outcome of a proposal.

    Attributes
    ----------
    proposal_id : int
        Identifier from the request.
    result : int or Failure
        Index of the committed entry, or the failure. Reason `TIMEOUT` means that
        the outcome is unknown; with any other reason, the proposal was not and will
        not be committed.
    """

    proposal_id: int
    result: int | failure.Failure
