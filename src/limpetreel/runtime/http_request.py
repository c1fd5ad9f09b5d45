"""HTTP request."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpRequest:
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
