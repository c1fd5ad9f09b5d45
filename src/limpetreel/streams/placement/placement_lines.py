"""Log lines and counts about the placement of new flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import stream_key
from limpetreel.streams.actions import histogram_sample, log_line
from limpetreel.streams.placement import line_sample

if TYPE_CHECKING:
    import msgspec

    from limpetreel.streams.messages import verdict
    from limpetreel.streams.placement import pending_offer

    Actions = list[msgspec.Struct]
    Fields = dict[str, str | int | float]

SLOW_SECONDS = 0.05
"""Duration of a placement from which it is always logged. An offer is answered within
some milliseconds, so the flow waited for a slot or an agent did not answer."""


class PlacementLines:
    """Describes placements for operators.

    Its attribute `refusals` counts refused flows by reason and service: the most
    frequent answer of agents in lower case, ``known_busy`` or ``none_usable`` if none
    was asked, or ``no_route``.
    """

    def __init__(self) -> None:
        self._sample = line_sample.LineSample()
        self.version: int | None = None
        self.refusals: dict[tuple[str, str], int] = {}

    def placed(self, now: float, pending: pending_offer.PendingOffer) -> Actions:
        """Return the duration of a placement, and its line if it is logged."""
        held = now - pending.started_at
        sample = histogram_sample.HistogramSample("placement_seconds", held)
        ratio = self._sample.ratio(now)
        if held >= SLOW_SECONDS:
            ratio = 1
        if not line_sample.is_chosen(pending.flow, ratio):
            return [sample]
        fields = self._fields(now, pending)
        fields |= {"agent": pending.target, "one_in": ratio}
        return [sample, log_line.LogLine("info", "flow.placed", fields)]

    def refused(
        self, now: float, pending: pending_offer.PendingOffer, known_busy: int
    ) -> Actions:
        """Return the line of a refused flow.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        pending : PendingOffer
            The flow.
        known_busy : int
            Agents of the service that have no free slot, as far as is known.
        """
        reason = "known_busy" if known_busy else "none_usable"
        if pending.reasons:
            reason = max(pending.reasons, key=lambda r: pending.reasons[r]).lower()
        self._count(reason, pending.service)
        fields = self._fields(now, pending)
        fields |= {"reason": "no upstream takes it", "known_busy": known_busy}
        return [log_line.LogLine("info", "flow.refused", fields)]

    def link_busy(
        self, flow: bytes, held_seconds: float, active: int, waiting: int
    ) -> Actions:
        """Return the line of a large request for which the link has no room.

        Parameters
        ----------
        flow : bytes
            Key of the flow.
        held_seconds : float
            Time for which its opening packet waited.
        active, waiting : int
            Transfers on the link, and openings that wait for it.
        """
        self._count("link_busy", "")
        fields: Fields = {
            "flow": stream_key.text(flow),
            "reason": "link is busy",
            "held_ms": int(held_seconds * 1000),
            "active": active,
            "waiting": waiting,
        }
        return [log_line.LogLine("info", "flow.refused", fields)]

    def without_route(self, flow: bytes) -> Actions:
        """Return the line of a flow that no route matches."""
        self._count("no_route", "")
        fields: Fields = {"flow": stream_key.text(flow), "reason": "no route"}
        return [log_line.LogLine("info", "flow.refused", fields)]

    def not_placed(
        self, now: float, pending: pending_offer.PendingOffer, reason: str
    ) -> Actions:
        """Return the line of a flow that is forgotten without a refusal."""
        fields = self._fields(now, pending)
        fields["reason"] = reason
        return [log_line.LogLine("warning", "flow.not_placed", fields)]

    def opened_unseen(self, now: float, pending: pending_offer.PendingOffer) -> Actions:
        """Return the line of a flow that is open although no agent said so."""
        fields = self._fields(now, pending)
        return [log_line.LogLine("info", "flow.opened_unseen", fields)]

    def avoided(
        self, name: str, reason: str, seconds: float, message: verdict.Verdict
    ) -> Actions:
        """Return the line of an agent that gets no flows for some seconds."""
        fields: Fields = {
            "agent": name,
            "reason": reason,
            "seconds": seconds,
            "service_ms": message.service_ms,
            "utilisation": message.utilisation,
            "flows": message.flows,
        }
        return [log_line.LogLine("warning", "agent.avoided", fields)]

    def _count(self, reason: str, service: str) -> None:
        key = (reason, service)
        self.refusals[key] = self.refusals.get(key, 0) + 1

    def _fields(self, now: float, pending: pending_offer.PendingOffer) -> Fields:
        version = {} if self.version is None else {"version": self.version}
        return {
            "flow": stream_key.text(pending.flow),
            "service": pending.service,
            "tried": len(pending.tried),
            "offers": pending.offers,
            "held_ms": int((now - pending.started_at) * 1000),
            **version,
            **{f"said_{k.lower()}": v for k, v in pending.reasons.items()},
        }
