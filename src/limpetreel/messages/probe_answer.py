"""Answer to a probe."""

from __future__ import annotations

import msgspec


class ProbeAnswer(msgspec.Struct, frozen=True, tag="probe_answer"):
    """Shows that a node of a zone was reachable.

    Attributes
    ----------
    nonce : int
        Nonce of the probe.
    zone : str
        Zone of the node that answers.
    revision : int
        Table revision of the node that answers.
    """

    nonce: int
    zone: str
    revision: int
