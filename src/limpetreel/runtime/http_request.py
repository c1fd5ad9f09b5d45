"""Request of an HTTP client."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """What a client asks.

    Attributes
    ----------
    method : str
        Method in capitals.
    path : str
        Path without the query.
    body : bytes
        The whole body.
    """

    method: str
    path: str
    body: bytes
