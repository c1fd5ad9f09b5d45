"""A request of an operator."""

from __future__ import annotations

import msgspec


class OperatorCall(msgspec.Struct, frozen=True, tag="operator_call"):
    """An authorised request; its answer carries the same number.

    Attributes
    ----------
    call_id : int
        Chosen by the shell.
    body : bytes
        JSON object with the kind of the request under ``type``.
    """

    call_id: int
    body: bytes
