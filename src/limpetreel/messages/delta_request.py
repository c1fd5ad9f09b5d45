"""Request for changes of the table."""

from __future__ import annotations

import msgspec

from limpetreel.messages import short_names


class DeltaRequest(
    msgspec.Struct, frozen=True, tag="delta_request", rename=short_names.SHORT_NAMES
):
    """Sent by a node whose revision or digest differs from that of control.

    Attributes
    ----------
    revision : int
        Send every record changed after this revision; 0 fetches everything.
    part : int
        First part to send, for a delta that does not fit into one datagram.
    to_revision : int
        Revision given in part 0; 0 before the first answer. The sender of the delta
        keeps answering for this revision for a while after a newer one exists.
    count : int
        Number of parts to send.
    scope : str
        Class of an agent, which needs a part of the table; empty for all of it.
    """

    revision: int
    part: int = 0
    to_revision: int = 0
    count: int = 1
    scope: str = ""
