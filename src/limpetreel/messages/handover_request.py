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
    backup : int
        Node id of the backup at this epoch; 0 if there is none.
    backup_incarnation : int
        Incarnation of the backup.
    buckets : tuple[int, ...]
        Buckets whose state the sender has not received yet.
    """

    class_id: int
    epoch: int
    backup: int = msgspec.field(name="deputy")
    backup_incarnation: int = msgspec.field(name="deputy_incarnation")
    buckets: tuple[int, ...]
