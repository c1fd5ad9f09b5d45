"""Announcements of upstreams."""

from __future__ import annotations

from typing import Annotated

import msgspec

from limpetreel.cluster import upstream_record
from limpetreel.core import failure, reason
from limpetreel.streams import upstream_status

_Slots = Annotated[int, msgspec.Meta(gt=0, le=upstream_record.MAX_SLOTS)]
_NotNegative = Annotated[int, msgspec.Meta(ge=0)]


class _Announcement(msgspec.Struct, rename="pascal"):
    """Body of an announcement."""

    backend: str
    address: str
    zone: str
    max_concurrency: _Slots
    state: str
    sequence: _NotNegative
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0)] = 0
    born: int | None = msgspec.field(name="born", default=None)


_READY = "ready"
_DRAINING = "draining"
_DECODER = msgspec.json.Decoder(_Announcement)


def decode(
    instance_id: str, body: bytes
) -> upstream_status.UpstreamStatus | failure.Failure:
    """Return the announcement in a request.

    An upstream whose state is not known keeps its flows and takes no new ones.

    Parameters
    ----------
    instance_id : str
        Identifier of this start of the upstream, from the path.
    body : bytes
        Body of the request.
    """
    try:
        announcement = _DECODER.decode(body)
    except (msgspec.DecodeError, RecursionError) as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "announcement.decode", detail=str(exc)
        )
    return upstream_status.UpstreamStatus(
        instance_id,
        announcement.born,
        announcement.sequence,
        announcement.backend,
        announcement.max_concurrency,
        announcement.state != _READY,
        int(announcement.warmup_left_ms),
        None if announcement.state in (_READY, _DRAINING) else announcement.state,
    )
