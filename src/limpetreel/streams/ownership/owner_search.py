"""Search for the agents that own flows which an entry has not seen."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.actions import send_node
from limpetreel.streams.messages import carry, probe, search, sought, stream_codec
from limpetreel.streams.ownership import sought_flow

if TYPE_CHECKING:
    from collections.abc import Iterator

    import msgspec

    from limpetreel.streams import candidates, segment
    from limpetreel.streams.messages import holdings

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]

BATCH_SECONDS = 0.02
"""Time for which flows are collected for one question to each agent."""
BATCH_SECONDS_PER_AGENT = 0.002
"""Part of that time for each agent that is asked; bounds the messages of an entry to
500 a second, however many flows it searches for."""
ANSWER_SECONDS = 0.15
"""Time after which the agents that have not answered are asked again."""
CONFIRM_SECONDS = 0.1
"""Pause after all known agents have denied a flow; an agent that has just started may
become known meanwhile."""
MAX_SECONDS = 2.0
"""Time after which a search without an answer of all agents ends."""
MAX_FLOWS = 4096
MAX_FLOWS_PER_MESSAGE = 40
"""Keeps a message within one packet of 1,200 bytes."""


class OwnerSearch:
    """Asks the agents of a service for the owners of flows, many flows at a time.

    A flow that no agent of its services holds has ended: its upstream has restarted or
    lost it. An agent that does not answer leaves it open.

    Parameters
    ----------
    candidates : Candidates
        Known agents.
    """

    def __init__(self, candidates: candidates.Candidates) -> None:
        self._candidates = candidates
        self._flows: dict[bytes, sought_flow.SoughtFlow] = {}
        self._due: dict[bytes, sought_flow.SoughtFlow] = {}
        self._next_batch_at = float("-inf")

    def __len__(self) -> int:
        """Return the number of flows that are searched for."""
        return len(self._flows)

    def add(
        self, now: float, segment: segment.Segment, services: tuple[str, ...]
    ) -> Actions:
        """Search for the owner of the flow of a packet, and hold the packet."""
        flow = self._flows.get(segment.flow)
        if flow is not None:
            flow.add_packet(segment)
            return []
        if len(self._flows) >= MAX_FLOWS:
            del self._flows[next(iter(self._flows))]
        flow = sought_flow.SoughtFlow(now, segment, services)
        self._flows[segment.flow] = flow
        flow.remaining = set(self._candidates.addresses(services))
        self._due[segment.flow] = flow
        return self._ask_due(now)

    def record_holdings(
        self, now: float, source: Address, message: holdings.Holdings
    ) -> Actions:
        """Apply an answer; forward the packets held for flows that the agent owns."""
        actions: Actions = []
        for key in message.owned:
            flow = self._flows.pop(key, None)
            self._due.pop(key, None)
            if flow is not None:
                actions += [_send(source, carry.Carry(p)) for p in flow.packets]
        for key in message.missing:
            flow = self._flows.get(key)
            if flow is not None and source in flow.remaining:
                flow.remaining.discard(source)
                flow.denied.add(source)
                if not flow.remaining:
                    flow.denied_at = now
        for key in message.unsure:
            flow = self._flows.get(key)
            if flow is not None and source in flow.remaining:
                actions.append(_send(source, probe.Probe(flow.latest.data)))
        return actions

    def take_ended(self, now: float, is_list_current: bool) -> list[segment.Segment]:
        """Remove flows that no agent holds; return the latest packet of each.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        is_list_current : bool
            Whether the list of agents is known to be complete.
        """
        ended = []
        for flow in list(self._flows.values()):
            if flow.denied_at is None or now - flow.denied_at < CONFIRM_SECONDS:
                continue
            known = set(self._candidates.addresses(flow.services))
            flow.remaining = known - flow.denied
            if flow.remaining:
                flow.denied_at = None
                self._due[flow.flow] = flow
                continue
            del self._flows[flow.flow]
            if is_list_current:
                ended.append(flow.latest)
        return ended

    def tick(self, now: float) -> tuple[list[sought_flow.SoughtFlow], Actions]:
        """Ask agents again that have not answered; return expired searches too."""
        expired = []
        for flow in list(self._flows.values()):
            if now - flow.began_at > MAX_SECONDS:
                del self._flows[flow.flow]
                self._due.pop(flow.flow, None)
                expired.append(flow)
            elif flow.remaining and now - flow.asked_at >= ANSWER_SECONDS:
                self._due[flow.flow] = flow
        return expired, self._ask_due(now)

    def _ask_due(self, now: float) -> Actions:
        if not self._due or now < self._next_batch_at:
            return []
        by_agent: dict[Address, list[sought.Sought]] = {}
        for flow in self._due.values():
            flow.asked_at = now
            ack = flow.latest.ack if flow.latest.is_ack else None
            question = sought.Sought(flow.flow, ack)
            for address in flow.remaining:
                by_agent.setdefault(address, []).append(question)
        self._due.clear()
        pause = max(BATCH_SECONDS, BATCH_SECONDS_PER_AGENT * len(by_agent))
        self._next_batch_at = now + pause
        return [
            _send(address, search.Search(chunk))
            for address, questions in by_agent.items()
            for chunk in _chunks(questions)
        ]


def _chunks(questions: list[sought.Sought]) -> Iterator[tuple[sought.Sought, ...]]:
    """Yield parts that fit into one message each."""
    for first in range(0, len(questions), MAX_FLOWS_PER_MESSAGE):
        yield tuple(questions[first : first + MAX_FLOWS_PER_MESSAGE])


def _send(address: Address, message: stream_codec.Message) -> msgspec.Struct:
    return send_node.SendNode(address, stream_codec.encode(message))
