"""Message from another control instance."""

from __future__ import annotations

import msgspec


class ConsensusArrived(msgspec.Struct, frozen=True, tag="consensus_arrived"):
    """A message of the replicated log has arrived.

    Attributes
    ----------
    envelope : bytes
        The encoded envelope.
    """

    envelope: bytes
