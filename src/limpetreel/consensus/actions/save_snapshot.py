"""Write of a snapshot to disk."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import snapshot


class SaveSnapshot(msgspec.Struct, frozen=True, tag="save_snapshot"):
    """Make a snapshot durable before the next action.

    Attributes
    ----------
    snapshot : Snapshot
        The snapshot.
    keep_log : bool
        Whether log entries after the snapshot are kept; False if they conflict with
        it.
    """

    snapshot: snapshot.Snapshot
    keep_log: bool
