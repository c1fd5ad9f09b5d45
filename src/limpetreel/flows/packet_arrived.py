"""Event: packet of a flow."""

from __future__ import annotations

import msgspec

from limpetreel.flows import flow_key


class PacketArrived(msgspec.Struct, frozen=True, tag="packet_arrived"):
    """A packet came from an entry or an agent.

    Attributes
    ----------
    flow : flow_key.FlowKey
        Flow of the packet.
    mode : int
        A `mode.Mode` value.
    hops : int
        Relays so far.
    sender : int
        Node id of the sender.
    incarnation : int
        Incarnation of the sender.
    accepts : bool
        Whether the own upstream can accept a new flow now.
    datagram : bytes
        The encoded packet, opaque here.
    accepts_wait : bool
        Whether the own upstream can accept a new flow that would wait briefly, for
        the case that nobody else can accept it.
    """

    flow: flow_key.FlowKey
    mode: int
    hops: int
    sender: int
    incarnation: int
    accepts: bool
    datagram: bytes
    accepts_wait: bool = False
