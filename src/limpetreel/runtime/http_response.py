"""Response to an HTTP client."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class HttpResponse:
    """What a client is told.

    Attributes
    ----------
    status : int
        Status code.
    body : bytes
        JSON, may be empty.
    location : str
        Where to go instead, empty for nowhere.
    """

    status: int
    body: bytes = b""
    location: str = ""
