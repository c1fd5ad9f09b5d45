"""Admission of large requests to the link of an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.configuration import request_kind
from limpetreel.streams.actions import histogram_sample

if TYPE_CHECKING:
    import msgspec

    from limpetreel.configuration import route
    from limpetreel.streams import segment
    from limpetreel.streams.placement import flow_placement
    from limpetreel.streams.transfers import transfer_limit

    Actions = list[msgspec.Struct]


class TransferAdmission:
    """Places flows for large requests once the link of the entry has room for them.

    Parameters
    ----------
    placement : FlowPlacement
        Finds an upstream for a flow.
    limit : TransferLimit
        Transfers on the link.
    """

    def __init__(
        self,
        placement: flow_placement.FlowPlacement,
        limit: transfer_limit.TransferLimit,
    ) -> None:
        self._placement = placement
        self._limit = limit

    def __len__(self) -> int:
        """Return the number of openings that wait for room."""
        return len(self._limit)

    def open(self, now: float, segment: segment.Segment, owner: str) -> Actions:
        """Place the flow of an opening packet, or let it wait for room on the link.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        segment : Segment
            The opening packet.
        owner : str
            Agent that accepted an earlier copy of the packet, empty if none did.
        """
        upload = self._new_upload(segment.flow, owner)
        if upload is None or self._limit.try_start(now, segment.flow):
            return self._placement.open(now, segment, owner)
        if segment.flow in self._limit:
            return []
        answer_seconds = upload.answer_ms / 1000
        if not self._limit.can_wait(answer_seconds):
            return self._refuse(now, segment, now)
        self._limit.wait(now, segment, answer_seconds)
        return []

    def record_data(self, now: float, flow: bytes, size: int) -> Actions:
        """Record a packet with data; place the next flow if it ends a transfer.

        The link would be idle until the next tick otherwise.
        """
        has_ended = self._limit.record_data(now, flow, size)
        return self._start_waiting(now) if has_ended and len(self._limit) else []

    def tick(self, now: float) -> Actions:
        """Place the flows for which there is room, and refuse those that came late."""
        actions: Actions = []
        for waiting in self._limit.take_expired(now):
            actions += self._refuse(now, waiting.segment, waiting.arrived_at)
        return actions + self._start_waiting(now)

    def _start_waiting(self, now: float) -> Actions:
        actions: Actions = []
        for waiting in self._limit.take_startable(now):
            seconds = now - waiting.arrived_at
            actions.append(
                histogram_sample.HistogramSample("transfer_wait_seconds", seconds)
            )
            actions += self._placement.open(now, waiting.segment, "")
        return actions

    def _new_upload(self, flow: bytes, owner: str) -> route.Route | None:
        """Return the route of a flow that will carry a large request, else None."""
        matched_route = self._placement.find_route(flow)
        if matched_route is None or owner or flow in self._placement:
            return None
        is_upload = matched_route.kind is request_kind.RequestKind.UPLOAD
        return matched_route if is_upload else None

    def _refuse(
        self, now: float, segment: segment.Segment, arrived_at: float
    ) -> Actions:
        line = self._placement.lines.link_busy(
            segment.flow, now - arrived_at, self._limit.active, len(self._limit)
        )
        return [*self._placement.refuse(segment), *line]
