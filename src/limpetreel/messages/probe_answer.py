"""Answer to a probe."""

from __future__ import annotations

import msgspec

from limpetreel.messages import short_names


class ProbeAnswer(
    msgspec.Struct, frozen=True, tag="probe_answer", rename=short_names.SHORT_NAMES
):
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
