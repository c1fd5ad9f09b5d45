"""Announcements of upstreams."""

from __future__ import annotations

from typing import Annotated

import msgspec

from limpetreel.cluster import upstream_record
from limpetreel.core import failure, reason
from limpetreel.streams import upstream_status

MAX_NUMBER = 2**63 - 1
MAX_COLD_MS = 24 * 3600 * 1000

_Slots = Annotated[int, msgspec.Meta(gt=0, le=upstream_record.MAX_SLOTS)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_ColdMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)]


class _Announcement(msgspec.Struct, rename="pascal"):
    """Body of an announcement."""

    backend: str
    address: str
    zone: str
    version: str
    max_concurrency: _Slots
    state: str
    warmup_left_ms: _ColdMs
    sequence: _Number
    born: _Number | msgspec.UnsetType = msgspec.field(
        name="born", default=msgspec.UNSET
    )


_READY = "ready"
_DRAINING = "draining"
_DECODER = msgspec.json.Decoder(_Announcement)


class AnnouncementFormat:
    """Decides which announcements name the upstream beside the agent.

    Another writer's announcement may lack fields, or have fields of another type, words
    that are not known, or the service of another upstream. It changes nothing: what the
    upstream has announced before holds. The address and the zone are those that the
    upstream knows of itself; the agent reaches it at the address in its own settings.

    Parameters
    ----------
    service : str
        Service of the upstream.
    """

    def __init__(self, service: str) -> None:
        self._service = service

    def decode(
        self, instance_id: str, body: bytes
    ) -> upstream_status.UpstreamStatus | failure.Failure:
        """Return the announcement in a request, or why it names no upstream.

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
            return _refused(str(exc))
        detail = self._difference(instance_id, announcement)
        if detail is not None:
            return _refused(detail)
        born = announcement.born
        return upstream_status.UpstreamStatus(
            instance_id,
            None if isinstance(born, msgspec.UnsetType) else born,
            announcement.sequence,
            announcement.backend,
            announcement.max_concurrency,
            announcement.state == _DRAINING,
            int(announcement.warmup_left_ms),
        )

    def _difference(self, instance_id: str, announcement: _Announcement) -> str | None:
        """Return what does not fit the upstream beside the agent, None if all does."""
        if not instance_id:
            return "the path has no instance id"
        if announcement.state not in (_READY, _DRAINING):
            return f"State {announcement.state!r} is not known"
        if announcement.backend != self._service:
            return f"Backend {announcement.backend!r} is not {self._service!r}"
        return None


def _refused(detail: str) -> failure.Failure:
    return failure.Failure(
        reason.Reason.MALFORMED, "announcement.decode", detail=detail
    )
