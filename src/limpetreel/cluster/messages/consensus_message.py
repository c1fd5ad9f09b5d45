"""Message of the replicated log."""

from __future__ import annotations

import msgspec


class ConsensusMessage(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Sent between control instances.

    Attributes
    ----------
    envelope : bytes
        Encoded `consensus.messages.envelope.Envelope`.
    """

    envelope: bytes
