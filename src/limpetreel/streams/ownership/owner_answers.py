"""Answers of an agent about flows that it may own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.actions import send_node, send_upstream
from limpetreel.streams.messages import (
    holdings,
    not_owned,
    search,
    sought,
    stream_codec,
)

if TYPE_CHECKING:
    import msgspec

    from limpetreel.streams import segment
    from limpetreel.streams.ownership import held_flows, probed_packet

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]


class OwnerAnswers:
    """Answers entries, and tries packets of unknown flows on the upstream for them.

    Its attribute `results` counts the packets that were tried, and what came of them.

    Parameters
    ----------
    held : HeldFlows
        What the agent knows about the flows of its upstream.
    """

    def __init__(self, held: held_flows.HeldFlows) -> None:
        self._held = held
        self.results: dict[str, int] = {}

    def search(self, now: float, source: Address, message: search.Search) -> Actions:
        """Answer a question about several flows."""
        return [_node(source, self._held.answer(now, source, message))]

    def probe(self, now: float, source: Address, segment: segment.Segment) -> Actions:
        """Let the upstream show whether it holds a flow; it returns the packet if not.

        What is known already is answered at once.
        """
        if self._held.start_probe(now, segment, source=source):
            return self._try(segment)
        question = search.Search((sought.Sought(segment.flow, segment.ack),))
        answer = self._held.answer(now, source, question)
        return [_node(source, answer)] if answer.owned or answer.missing else []

    def locate(self, now: float, segment: segment.Segment) -> Actions:
        """Handle a packet of an older entry, which asks all agents with each packet."""
        if self._held.start_probe(now, segment):
            return self._try(segment)
        return []

    def carry(self, now: float, source: Address, segment: segment.Segment) -> Actions:
        """Handle a packet of an unknown flow from an entry that names the agent.

        The entry may know the owner since before the agent restarted. The first packet
        is tried, and further ones follow unless the upstream returns it.
        """
        if self._held.start_probe(now, segment, carrier=source):
            return self._try(segment)
        probed = self._held.current_probe(now, segment.flow)
        if probed is None or probed.is_returned:
            return [_node(source, not_owned.NotOwned(segment.data))]
        if self._held.hold(now, source, segment):
            return []
        return [send_upstream.SendUpstream(segment.data)]

    def record_returned(self, key: bytes) -> Actions:
        """Tell entries that the upstream does not hold a flow."""
        probed = self._held.record_returned(key)
        if probed is None:
            return []
        self._count("RETURNED")
        reply = holdings.Holdings(missing=(key,))
        actions = [_node(source, reply) for source in probed.sources]
        probed.sources.clear()
        return actions + _return_carried(probed)

    def record_shown(self, probed: probed_packet.ProbedPacket) -> Actions:
        """Tell entries that the upstream holds the flow of a probed packet."""
        self._count("HELD")
        reply = holdings.Holdings(owned=(probed.segment.flow,))
        return [_node(source, reply) for source in probed.sources]

    def _try(self, segment: segment.Segment) -> Actions:
        self._count("TRIED")
        return [send_upstream.SendUpstream(segment.data)]

    def _count(self, result: str) -> None:
        self.results[result] = self.results.get(result, 0) + 1


def _return_carried(probed: probed_packet.ProbedPacket) -> Actions:
    carried = probed.take_held()
    if probed.carrier is not None:
        carried.insert(0, (probed.carrier, probed.segment))
        probed.carrier = None
    return [_node(source, not_owned.NotOwned(held.data)) for source, held in carried]


def _node(target: Address, message: stream_codec.Message) -> msgspec.Struct:
    return send_node.SendNode(target, stream_codec.encode(message))
