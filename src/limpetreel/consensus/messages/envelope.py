"""Message with its sender and target."""

from __future__ import annotations

import msgspec

from limpetreel.consensus.messages import (
    append_reply,
    append_request,
    elect_now,
    join_request,
    pre_vote_reply,
    pre_vote_request,
    snapshot_chunk,
    snapshot_reply,
    vote_reply,
    vote_request,
)

Message = (
    pre_vote_request.PreVoteRequest
    | pre_vote_reply.PreVoteReply
    | vote_request.VoteRequest
    | vote_reply.VoteReply
    | append_request.AppendRequest
    | append_reply.AppendReply
    | snapshot_chunk.SnapshotChunk
    | snapshot_reply.SnapshotReply
    | join_request.JoinRequest
    | elect_now.ElectNow
)


class Envelope(msgspec.Struct, frozen=True):
    """Message between two instances with its sender and target.

    Attributes
    ----------
    sender : str
        Identity of the sender.
    address : str
        Address of the sender, for the reply.
    target : str
        Identity of the receiver; empty for any. A receiver with another identity
        drops the message, since it may have replaced an instance that lost its disk.
    message : Message
        The message.
    log_format : int
        Latest format of log entries that the sender applies; releases that do not
        send it apply format 0.
    """

    sender: str
    address: str
    target: str
    message: Message
    log_format: int = 0
