"""Request for the changes of the table."""

from __future__ import annotations

import msgspec


class DeltaRequest(msgspec.Struct, frozen=True, tag="delta_request"):
    """Sent by a node whose revision or digest differs from control's.

    Attributes
    ----------
    revision : int
        Send every record changed after this revision; 0 fetches everything.
    part : int
        Part to send, for a delta that does not fit into one datagram.
    to_revision : int
        Revision that part 0 named; 0 when asking for part 0.
    """

    revision: int
    part: int = 0
    to_revision: int = 0
