"""Operator's call that waits for its outcome."""

from __future__ import annotations

import msgspec

from limpetreel.cluster import command_codec


class PendingCall(msgspec.Struct):
    """State of one call.

    Attributes
    ----------
    call_id : int
        Number of the call.
    command : SetConfiguration, SetZone or None
        The change; None for a read.
    expires_at : float
        Time at which it is answered as unavailable.
    number : int or None
        Its number in the replicated log, None while there is no leader.
    """

    call_id: int
    command: command_codec.Command | None
    expires_at: float
    number: int | None = None
