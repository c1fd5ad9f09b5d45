"""HTTP request."""

from __future__ import annotations

import msgspec


class HttpRequest(msgspec.Struct, frozen=True):
    """A complete request of a client.

    Attributes
    ----------
    method : str
        Method in upper case.
    path : str
        Path without the query.
    body : bytes
        Complete body.
    """

    method: str
    path: str
    body: bytes
