"""Answer to an offered flow."""

from __future__ import annotations

import msgspec

from limpetreel.flows import flow_key


class OfferRefused(msgspec.Struct, frozen=True, tag="offer_refused"):
    """The backup cannot accept a new flow; the sender refuses the request.

    Attributes
    ----------
    flow : flow_key.FlowKey
        The flow that was offered.
    datagram : bytes
        The packet, as it was relayed.
    """

    flow: flow_key.FlowKey
    datagram: bytes
