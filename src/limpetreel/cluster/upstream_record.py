"""Record of an upstream, sent to all entries."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_SLOTS = 2**31 - 1

_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
_Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one upstream and the agent beside it.

    Attributes
    ----------
    name : str
        Name of the agent's node.
    host, port : str, int
        Address at which the agent receives packets from entries.
    data_centre : str
        Data centre of the machine.
    service : str
        Service of the upstream.
    is_accepting : bool
        Whether the upstream takes new flows.
    slots : int
        Requests that it processes concurrently.
    is_reported : bool
        Whether control has received recent reports of the agent. Control instances
        that are partitioned from each other receive reports of their own agents
        only, so this does not show whether the upstream itself works.
    has_ended : bool
        Whether the upstream has signed off and its agent has stopped, so that no flow
        is left there.
    """

    name: str
    host: str
    port: _Port
    data_centre: str
    service: str
    is_accepting: bool
    slots: _Slots
    is_reported: bool = True
    has_ended: bool = False
