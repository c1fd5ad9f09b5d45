"""Action: relay a packet."""

from __future__ import annotations

import msgspec

from limpetreel.flows import flow_key


class Relay(msgspec.Struct, frozen=True, tag="relay"):
    """Send the packet to another agent.

    Attributes
    ----------
    target : int
        Node id of the agent.
    incarnation : int
        Its incarnation.
    mode : int
        A `mode.Mode` value.
    hops : int
        Number of relays, including this one.
    flow : flow_key.FlowKey
        Flow of the packet.
    datagram : bytes
        The packet.
    """

    target: int
    incarnation: int
    mode: int
    hops: int
    flow: flow_key.FlowKey
    datagram: bytes
