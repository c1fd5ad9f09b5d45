"""Answer to an offer."""

from __future__ import annotations

import msgspec

from limpetreel.streams.messages import outcome


class Verdict(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Sent by an agent to the entry that offered a flow.

    Attributes
    ----------
    offer_id : int
        Identifier of the offer.
    outcome : Outcome
        Decision about the flow.
    wait_ms : int
        Expected wait for a slot.
    service_ms : int
        Expected time from a request to the start of its answer.
    load : int
        Occupied part of the capacity, in percent.
    flows : int
        Open flows that the upstream holds.
    utilisation : int
        Percent of the slot time of the last seconds in which requests were in service.
    is_long : bool
        Whether the flows of this route usually carry several requests.
    """

    offer_id: int
    outcome: outcome.Outcome
    wait_ms: int
    service_ms: int
    load: int
    flows: int = 0
    utilisation: int = 0
    is_long: bool = False
