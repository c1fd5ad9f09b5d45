"""Action: serve a packet."""

from __future__ import annotations

import msgspec

from limpetreel.flows import flow_key


class Serve(msgspec.Struct, frozen=True, tag="serve"):
    """Pass the packet to the local upstream, after the checks of its request.

    Attributes
    ----------
    flow : flow_key.FlowKey
        Flow of the packet.
    datagram : bytes
        The packet.
    is_new : bool
        True if the flow was placed by this packet.
    """

    flow: flow_key.FlowKey
    datagram: bytes
    is_new: bool
