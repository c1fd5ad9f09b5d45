"""A caller's request as the decision logic sees it."""

from __future__ import annotations

import msgspec


class Request(msgspec.Struct, frozen=True):
    """A request, independent of the caller protocol.

    Attributes
    ----------
    message_id : int
        Number that marks repeated datagrams of the same request.
    token : bytes
        Value by which the caller matches the answer.
    idempotent : bool
        Whether running the request twice does no harm.
    confirmable : bool
        Whether the caller repeats the datagram until it is acknowledged.
    deadline_ms : int or None
        Time the caller grants, in milliseconds; None if it states none.
    tag : bytes
        Name under which the caller resends a request; empty if it has none.
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
