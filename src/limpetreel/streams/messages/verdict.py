"""Answer to an offer."""

from __future__ import annotations

from typing import Annotated

import msgspec

from limpetreel.streams.messages import outcome

_NotNegative = Annotated[int, msgspec.Meta(ge=0)]


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
    wait_ms: _NotNegative
    service_ms: _NotNegative
    load: _NotNegative
    flows: _NotNegative = 0
    utilisation: _NotNegative = 0
    is_long: bool = False
