"""What all entries know about an upstream."""

from __future__ import annotations

import msgspec


class UpstreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """State of one upstream and the agent beside it.

    Attributes
    ----------
    name : str
        Name of the agent's node.
    host, port : str, int
        Where the agent takes packets from entries.
    data_centre : str
        Data centre of the machine.
    service : str
        Service of the upstream.
    is_accepting : bool
        Whether the upstream takes new flows.
    slots : int
        Requests that it works on at once.
    is_heard : bool
        Whether control has heard of the agent lately. Control instances that are cut
        off from each other hear of their own agents only, so this says nothing of
        the upstream itself.
    """

    name: str
    host: str
    port: int
    data_centre: str
    service: str
    is_accepting: bool
    slots: int
    is_heard: bool = True
