"""State of an upstream, for control."""

from __future__ import annotations

import msgspec

from limpetreel.cluster import upstream_record


class Report(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Sent by an agent to a control instance, and from there to the others.

    Attributes
    ----------
    start : int
        Random number that identifies this start of the agent.
    sequence : int
        Number that increases with each report since the start.
    record : UpstreamRecord
        The upstream.
    """

    start: int
    sequence: int
    record: upstream_record.UpstreamRecord
