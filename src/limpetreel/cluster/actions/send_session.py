"""Message to a node."""

from __future__ import annotations

import msgspec

from limpetreel.cluster.messages import update


class SendSession(msgspec.Struct, frozen=True, tag="send_session"):
    """Send an update on the connection of a node.

    Attributes
    ----------
    session_id : int
        Number of the connection.
    update : Update
        The update.
    """

    session_id: int
    update: update.Update
