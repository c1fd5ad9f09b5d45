"""A flow and the time for which its owner has held it."""

from __future__ import annotations

import msgspec

from limpetreel.flows import flow_key


class HeldFlow(msgspec.Struct, frozen=True, array_like=True):
    """Flow that the sender of a message owns.

    Attributes
    ----------
    flow : flow_key.FlowKey
        The flow.
    age_ms : int
        Time in milliseconds since the owner acquired the flow.
    """

    flow: flow_key.FlowKey
    age_ms: int
