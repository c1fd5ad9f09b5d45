"""What an agent knows about the flows that its upstream holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.messages import holdings
from limpetreel.streams.ownership import probed_packet

if TYPE_CHECKING:
    from limpetreel.streams import flow_set, segment
    from limpetreel.streams.messages import search

    Address = tuple[str, int]

PROBE_SECONDS = 1.0
"""Time for which an entry awaits what the upstream shows about a flow."""


class HeldFlows:
    """Tells entries which flows the upstream holds, does not hold, or may hold.

    Parameters
    ----------
    flows : FlowSet
        Flows that the agent has forwarded.
    unknown_until : float
        Time until which the upstream may hold flows that were opened before the
        agent started.
    """

    def __init__(self, flows: flow_set.FlowSet, unknown_until: float) -> None:
        self._flows = flows
        self._unknown_until = unknown_until
        self._probes: dict[bytes, probed_packet.ProbedPacket] = {}

    def mark_all_known(self) -> None:
        """Record that the upstream has no flows that the agent does not know."""
        self._unknown_until = float("-inf")

    def may_hold(self, now: float) -> bool:
        """Return whether the upstream may hold a flow that the agent does not know."""
        return now < self._unknown_until

    def owns(self, key: bytes, ack: int | None) -> bool:
        """Return whether the upstream holds a flow.

        Parameters
        ----------
        key : bytes
            Key of the flow.
        ack : int or None
            Number that the caller acknowledges, None in a packet without one.
        """
        flow = self._flows.get(key)
        if flow is None:
            return False
        # Another upstream may have answered a copy of the opening packet.
        return flow.is_confirmed or ack is None or flow.has_sent(ack)

    def answer(self, now: float, question: search.Search) -> holdings.Holdings:
        """Return what is known about the flows that an entry searches for."""
        owned: list[bytes] = []
        other: list[bytes] = []
        for sought in question.flows:
            known = owned if self.owns(sought.flow, sought.ack) else other
            known.append(sought.flow)
        if self.may_hold(now):
            unsure = tuple(k for k in other if self._flows.get(k) is None)
            missing = tuple(k for k in other if self._flows.get(k) is not None)
            return holdings.Holdings(tuple(owned), missing, unsure)
        return holdings.Holdings(tuple(owned), tuple(other))

    def record_probe(
        self, now: float, source: Address, segment: segment.Segment
    ) -> None:
        """Record that an entry awaits what the upstream shows about a flow."""
        self._probes[segment.flow] = probed_packet.ProbedPacket(now, source, segment)

    def take_probe(self, key: bytes) -> probed_packet.ProbedPacket | None:
        """Return the packet that was sent to learn of a flow, None if there is none."""
        return self._probes.pop(key, None)

    def sweep(self, now: float) -> None:
        """Remove probes that the upstream has left unanswered."""
        expired = [
            k for k, p in self._probes.items() if now - p.sent_at > PROBE_SECONDS
        ]
        for key in expired:
            del self._probes[key]
