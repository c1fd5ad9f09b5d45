"""Request of a new holder for the state of its buckets."""

from __future__ import annotations

import msgspec


class HandoverRequest(msgspec.Struct, frozen=True, tag="handover_request"):
    """Fences the receiver for some buckets and requests its part of their state.

    Attributes
    ----------
    class_id : int
        Number of the class.
    epoch : int
        Table revision at which the sender became holder.
    deputy : int
        Node id of the deputy at this epoch; 0 if there is none.
    deputy_incarnation : int
        Incarnation of the deputy.
    buckets : tuple[int, ...]
        Buckets whose state the sender has not received yet.
    """

    class_id: int
    epoch: int
    deputy: int
    deputy_incarnation: int
    buckets: tuple[int, ...]
