"""Proposed log entry."""

from __future__ import annotations

import msgspec


class Proposal(msgspec.Struct, frozen=True):
    """One proposed entry.

    Attributes
    ----------
    proposal_id : int
        Chosen by the shell; returned in the result.
    data : bytes
        Data of the entry.
    """

    proposal_id: int
    data: bytes
