"""Action: send a message."""

from __future__ import annotations

import msgspec

from limpetreel.flows import router_message


class Send(msgspec.Struct, frozen=True, tag="send"):
    """Send a message to an agent of the class; the target may be this agent.

    Attributes
    ----------
    target : int
        Node id of the agent.
    incarnation : int
        Its incarnation.
    message : router_message.RouterMessage
        The message.
    """

    target: int
    incarnation: int
    message: router_message.RouterMessage
