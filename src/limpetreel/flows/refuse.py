"""Action: refuse a packet."""

from __future__ import annotations

import msgspec

from limpetreel.flows import flow_key


class Refuse(msgspec.Struct, frozen=True, tag="refuse"):
    """No agent accepts the new flow; the request was not run.

    Attributes
    ----------
    flow : flow_key.FlowKey
        Flow of the packet.
    datagram : bytes
        The packet.
    """

    flow: flow_key.FlowKey
    datagram: bytes
