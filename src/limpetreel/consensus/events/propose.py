"""Request to append entries."""

from __future__ import annotations

import msgspec

from limpetreel.consensus.events import proposal


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """Proposals that are appended with one write and one sync.

    Attributes
    ----------
    proposals : tuple of Proposal
        All proposals pending in the shell.
    """

    proposals: tuple[proposal.Proposal, ...]
