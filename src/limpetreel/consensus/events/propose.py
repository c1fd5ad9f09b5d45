"""Request to append entries."""

from __future__ import annotations

import msgspec

from limpetreel.consensus.events import proposal


class Propose(msgspec.Struct, frozen=True, tag="propose"):
    """Proposals that share one write and one sync.

    Attributes
    ----------
    proposals : tuple of Proposal
        All proposals that wait at the shell.
    """

    proposals: tuple[proposal.Proposal, ...]
