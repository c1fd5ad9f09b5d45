"""A message of another control instance."""

from __future__ import annotations

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, tag="peer_message"):
    """An authenticated message.

    Attributes
    ----------
    kind : int
        `kind.Kind.CONSENSUS`, `REPORT` or `FOUNDING`.
    body : bytes
        Encoded message.
    """

    kind: int
    body: bytes
