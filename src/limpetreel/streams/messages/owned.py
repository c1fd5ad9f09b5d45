"""Claim of a flow by the agent that holds it."""

from __future__ import annotations

import msgspec


class Owned(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Sent by an agent to an entry that searches for the owner of a flow.

    Attributes
    ----------
    flow : bytes
        Key of the flow.
    """

    flow: bytes
