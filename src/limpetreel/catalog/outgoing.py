"""Message to be sent."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import peer
from limpetreel.messages import delta, delta_request, probe, probe_answer, renew


class Outgoing(msgspec.Struct, frozen=True):
    """A control message and its receiver.

    Attributes
    ----------
    to : Peer
        Receiver.
    message
        The message.
    """

    to: peer.Peer
    message: (
        renew.Renew
        | delta_request.DeltaRequest
        | delta.Delta
        | probe.Probe
        | probe_answer.ProbeAnswer
    )
