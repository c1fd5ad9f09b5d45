"""Answer to an operator."""

from __future__ import annotations

import msgspec


class AnswerOperator(msgspec.Struct, frozen=True, tag="answer_operator"):
    """Send the answer to a request.

    Attributes
    ----------
    call_id : int
        Number of the request.
    body : bytes
        JSON object.
    """

    call_id: int
    body: bytes
