"""Answer to a heartbeat."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import stamp


class AppendReply(msgspec.Struct, frozen=True, tag="append_reply"):
    """Answer to `AppendRequest`, and to the last `SnapshotChunk`.

    Attributes
    ----------
    term : int
        Term of the replying instance.
    success : bool
        Whether its log agrees with the leader's up to `index`.
    index : int
        Last entry that agrees, or, without success, the `prev_index` refused.
    hint : int
        Without success, the index at which the leader should try again.
    hint_term : int
        Without success, the term of the conflicting entry, 0 if it is missing.
    round : int
        Heartbeat round of the request.
    stamp : Stamp
        When the reply was sent.
    """

    term: int
    success: bool
    index: int
    hint: int
    hint_term: int
    round: int
    stamp: stamp.Stamp
