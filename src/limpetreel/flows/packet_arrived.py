"""Event: packet of a flow."""

from __future__ import annotations

import msgspec

from limpetreel.flows import flow_key


class PacketArrived(msgspec.Struct, frozen=True, tag="packet_arrived"):
    """A packet has arrived from an entry or an agent.

    Attributes
    ----------
    flow : flow_key.FlowKey
        Flow of the packet.
    mode : int
        A `mode.Mode` value.
    hops : int
        Number of relays so far.
    sender : int
        Node id of the sender.
    incarnation : int
        Incarnation of the sender.
    accepts : bool
        Whether the local upstream can accept a new flow now.
    datagram : bytes
        The encoded packet, not interpreted here.
    accepts_wait : bool
        Whether the local upstream can accept a new flow after a short wait, used if
        no other agent can accept it.
    """

    flow: flow_key.FlowKey
    mode: int
    hops: int
    sender: int
    incarnation: int
    accepts: bool
    datagram: bytes
    accepts_wait: bool = False
