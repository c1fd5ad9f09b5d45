"""What an agent knows about the flows that its upstream holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.messages import holdings
from limpetreel.streams.ownership import probed_packet

if TYPE_CHECKING:
    from limpetreel.streams import flow_set, segment
    from limpetreel.streams.messages import search

    Address = tuple[str, int]

REACTION_SECONDS = 2.2
"""Time for which the upstream's reaction to a probed packet is awaited, and no other
packet of the flow is tried. An upstream returns packets of flows that it does not hold
within 1 ms; a longer silence means that it holds the flow or hangs. Longer than the 2 s
in which few packets of a flow may reach an upstream that does not hold it."""
RETURN_SECONDS = 0.05
"""Time within which an upstream returns a packet, with a pause of the machine. After it
the packets that an entry sends to the agent as the flow's owner are forwarded."""
MAX_PROBES = 20_000
"""Bounds the memory for probed packets and their results."""
SWEEP_SECONDS = 1.0


class HeldFlows:
    """Tells entries which flows the upstream holds, does not hold, or may hold.

    An agent that has started after its upstream tries one packet of each flow that it
    does not know. Later questions get the result, or no answer while it is due.

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
        self._holding: dict[bytes, probed_packet.ProbedPacket] = {}
        self._swept_at = float("-inf")

    def mark_all_known(self) -> None:
        """Record that the upstream has no flows that the agent does not know."""
        self._unknown_until = float("-inf")
        self._probes.clear()
        self._holding.clear()

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
        if flow.is_confirmed or ack is None:
            return True
        # Another upstream may have answered a copy of the opening packet.
        return flow.first_sequence is not None and flow.has_sent(ack)

    def answer(
        self, now: float, source: Address, question: search.Search
    ) -> holdings.Holdings:
        """Return what is known about the flows that an entry searches for.

        Flows whose probed packet the upstream may yet return are neither missing nor
        unsure.
        """
        owned: list[bytes] = []
        missing: list[bytes] = []
        unsure: list[bytes] = []
        tried: list[bytes] = []
        pending: list[bytes] = []
        may_hold = self.may_hold(now)
        for sought in question.flows:
            key = sought.flow
            if self.owns(key, sought.ack):
                owned.append(key)
                continue
            if not may_hold or self._flows.get(key) is not None:
                missing.append(key)
                continue
            probed = self.current_probe(now, key)
            if probed is None:
                unsure.append(key)
                continue
            if now - probed.sent_at < REACTION_SECONDS:
                tried.append(key)
            if probed.is_returned:
                missing.append(key)
            else:
                probed.add_source(source)
                pending.append(key)
        # An older entry needs the names.
        is_rest_missing = question.number != 0
        return holdings.Holdings(
            tuple(owned),
            () if is_rest_missing else tuple(missing),
            tuple(unsure),
            question.number,
            tuple(tried),
            tuple(pending),
            is_rest_missing,
        )

    def start_probe(
        self,
        now: float,
        segment: segment.Segment,
        source: Address | None = None,
        carrier: Address | None = None,
    ) -> bool:
        """Return whether a packet is the first of an unknown flow, and is to be tried.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        segment : Segment
            The packet.
        source : tuple of (str, int) or None
            Entry that awaits the result.
        carrier : tuple of (str, int) or None
            Entry that takes the agent for the owner.
        """
        if not self.may_hold(now) or self._flows.get(segment.flow) is not None:
            return False
        if self.current_probe(now, segment.flow) is not None:
            return False
        if len(self._probes) >= MAX_PROBES:
            self.take_probe(next(iter(self._probes)))
        probed = probed_packet.ProbedPacket(now, segment)
        if source is not None:
            probed.add_source(source)
        probed.carrier = carrier
        self._probes[segment.flow] = probed
        return True

    def take_probe(self, key: bytes) -> probed_packet.ProbedPacket | None:
        """Remove and return the probed packet of a flow that the upstream holds."""
        self._holding.pop(key, None)
        return self._probes.pop(key, None)

    def record_returned(self, key: bytes) -> probed_packet.ProbedPacket | None:
        """Record that the upstream does not hold a flow; return what was tried."""
        probed = self._probes.get(key)
        if probed is not None:
            probed.is_returned = True
            self._holding.pop(key, None)
        return probed

    def hold(self, now: float, source: Address, segment: segment.Segment) -> bool:
        """Hold a packet while the upstream may yet return the one that was tried.

        Returns
        -------
        bool
            Whether the packet is held; otherwise it is to be forwarded.
        """
        probed = self._probes.get(segment.flow)
        if probed is None or now - probed.sent_at >= RETURN_SECONDS:
            return False
        probed.hold(source, segment)
        self._holding[segment.flow] = probed
        return True

    @property
    def is_holding(self) -> bool:
        """Return whether packets are held."""
        return bool(self._holding)

    def take_held(self, now: float) -> list[segment.Segment]:
        """Remove and return packets whose flow the upstream has not denied in time."""
        segments: list[segment.Segment] = []
        for key, probed in list(self._holding.items()):
            if now - probed.sent_at >= RETURN_SECONDS:
                del self._holding[key]
                segments += [segment for _, segment in probed.take_held()]
        return segments

    def sweep(self, now: float) -> None:
        """Remove results that are not needed any more."""
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        if not self.may_hold(now):
            self._probes.clear()

    def current_probe(
        self, now: float, key: bytes
    ) -> probed_packet.ProbedPacket | None:
        """Return the packet that was tried, unless it was left unanswered for long."""
        probed = self._probes.get(key)
        if probed is None or probed.is_returned:
            return probed
        return probed if now - probed.sent_at <= REACTION_SECONDS else None
