"""Write of a snapshot."""

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
        Whether entries after the snapshot stay; False if they conflict with it.
    """

    snapshot: snapshot.Snapshot
    keep_log: bool
