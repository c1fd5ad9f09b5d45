"""Event: message from another agent."""

from __future__ import annotations

import msgspec

from limpetreel.flows import router_message


class MessageArrived(msgspec.Struct, frozen=True, tag="message_arrived"):
    """A message from another agent of the class has arrived.

    Attributes
    ----------
    sender : int
        Node id of the sender.
    incarnation : int
        Incarnation of the sender.
    message : router_message.RouterMessage
        The message.
    accepts : bool
        Whether the local upstream can accept a flow that the sender refused.
    hops : int
        Number of relays so far of the packet of that flow.
    """

    sender: int
    incarnation: int
    message: router_message.RouterMessage
    accepts: bool = False
    hops: int = 0
