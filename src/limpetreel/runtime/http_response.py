"""HTTP response."""

from __future__ import annotations

import msgspec


class HttpResponse(msgspec.Struct, frozen=True):
    """Response to a request of a client.

    Attributes
    ----------
    status : int
        Status code.
    body : bytes
        JSON document, may be empty.
    location : str
        Value of the ``Location`` header, empty for none.
    """

    status: int
    body: bytes = b""
    location: str = ""
