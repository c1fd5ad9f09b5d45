"""Offer of a new flow to an agent."""

from __future__ import annotations

import msgspec


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Sent by an entry; the agent answers with a `Verdict`.

    Attributes
    ----------
    offer_id : int
        Chosen by the entry.
    version : int
        Version of the configuration that the entry used.
    may_wait : bool
        Whether the flow may wait for a free slot.
    packet : bytes
        The packet that opens the flow.
    """

    offer_id: int
    version: int
    may_wait: bool
    packet: bytes
