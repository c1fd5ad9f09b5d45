"""Action: drop a packet."""

from __future__ import annotations

import msgspec

from limpetreel.core import reason as reasons
from limpetreel.flows import flow_key


class Drop(msgspec.Struct, frozen=True, tag="drop"):
    """Drop the packet without an answer; the caller retransmits.

    Attributes
    ----------
    flow : flow_key.FlowKey
        Flow of the packet.
    reason : reasons.Reason
        Reason for the drop.
    """

    flow: flow_key.FlowKey
    reason: reasons.Reason
