"""Request of a caller, independent of the caller protocol."""

from __future__ import annotations

import msgspec


class Request(msgspec.Struct, frozen=True):
    """A caller's request, decoded by a `CallerProtocol`.

    Attributes
    ----------
    message_id : int
        Message id, equal in all retransmissions of the same request.
    token : bytes
        Value by which the caller matches the answer.
    idempotent : bool
        Whether the request may safely run more than once.
    confirmable : bool
        Whether the caller retransmits the datagram until it is acknowledged.
    deadline_ms : int or None
        Time limit set by the caller, in milliseconds; None if it set none.
    tag : bytes
        Identifier that the caller keeps when it resends the request; empty if
        the request carries none.
    long_lived : bool
        Whether the request asks for several answers over time.
    """

    message_id: int
    token: bytes
    idempotent: bool
    confirmable: bool
    deadline_ms: int | None
    tag: bytes
    long_lived: bool
