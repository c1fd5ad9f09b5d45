"""Answer to an operator."""

from __future__ import annotations

import msgspec

from limpetreel.cluster import call_status


class AnswerCall(msgspec.Struct, frozen=True, tag="answer_call"):
    """Answer a call.

    Attributes
    ----------
    call_id : int
        Number of the call.
    status : CallStatus
        Outcome of the call.
    document : bytes or None
        The document, None unless the call was a read that found one.
    leader : str or None
        Host of the leader, None unless the caller is redirected to it.
    """

    call_id: int
    status: call_status.CallStatus
    document: bytes | None = None
    leader: str | None = None
