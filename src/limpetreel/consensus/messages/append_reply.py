"""Reply to an append request."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import stamp


class AppendReply(msgspec.Struct, frozen=True, tag="append_reply"):
    """Reply to `AppendRequest` and to the last `SnapshotChunk`.

    Attributes
    ----------
    term : int
        Term of the replying instance.
    success : bool
        Whether its log matches the leader's up to `index`.
    index : int
        Last matching entry, or, without success, the rejected `prev_index`.
    hint : int
        Without success, the index that the leader should try next.
    hint_term : int
        Without success, the term of the conflicting entry, 0 if it is missing.
    round : int
        Heartbeat round of the request.
    stamp : Stamp
        Sending time of the reply.
    """

    term: int
    success: bool
    index: int
    hint: int
    hint_term: int
    round: int
    stamp: stamp.Stamp
