"""Search for the agents that own flows which an entry has not seen."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from limpetreel.streams.actions import send_node
from limpetreel.streams.messages import carry, probe, search, sought, stream_codec
from limpetreel.streams.ownership import probe_budget, sought_flow

if TYPE_CHECKING:
    from collections.abc import Iterator

    import msgspec

    from limpetreel.streams import segment
    from limpetreel.streams.messages import holdings
    from limpetreel.streams.placement import candidates

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]

BATCH_SECONDS = 0.02
"""Time for which flows are collected for one question to each agent."""
BATCH_SECONDS_PER_AGENT = 0.002
"""Part of that time for each agent that is asked; bounds the messages of an entry to
500 a second, however many flows it searches for."""
PROBE_DELAY_SECONDS = 0.3
"""Time for which the answers of agents that are sure are awaited before a packet is
tried at one that is not."""
CONFIRM_SECONDS = 0.1
"""Pause after all known agents have denied a flow; an agent that has just started may
become known meanwhile."""
MAX_FLOWS = 4096
MAX_FLOWS_PER_MESSAGE = 40
"""Keeps a message within one packet of 1,200 bytes."""


class OwnerSearch:
    """Asks the agents of a service for the owners of flows, many flows at a time.

    A flow that no agent of its services holds has ended: its upstream has restarted or
    lost it. An agent that does not answer leaves it open.

    Agents that are unsure are sent a packet of the flow, which their upstreams return
    if they do not hold it. If one of the unsure agents must be the owner, all of them
    get it at once; otherwise few do, the same ones from each entry.

    Parameters
    ----------
    candidates : Candidates
        Known agents.
    """

    def __init__(self, candidates: candidates.Candidates) -> None:
        self._candidates = candidates
        self._is_list_current = False
        self._flows: dict[bytes, sought_flow.SoughtFlow] = {}
        self._due: dict[bytes, sought_flow.SoughtFlow] = {}
        self._budget = probe_budget.ProbeBudget()
        self._number = 0
        self._next_batch_at = float("-inf")

    def __len__(self) -> int:
        """Return the number of flows that are searched for."""
        return len(self._flows)

    def change_list(self, is_list_current: bool) -> None:
        """Ask agents that have become known since a search began.

        Parameters
        ----------
        is_list_current : bool
            Whether the list of agents is known to be complete.
        """
        self._is_list_current = is_list_current
        for flow in self._flows.values():
            if flow.add_agents(self._candidates.addresses(flow.services)):
                self._due[flow.flow] = flow

    def add(
        self, now: float, segment: segment.Segment, services: tuple[str, ...]
    ) -> Actions:
        """Search for the owner of the flow of a packet, and hold the packet."""
        flow = self._flows.get(segment.flow)
        if flow is not None:
            flow.add_packet(segment)
            return self._probe(now, flow)
        if len(self._flows) >= MAX_FLOWS:
            self._remove(next(iter(self._flows)))
        flow = sought_flow.SoughtFlow(now, segment, services)
        self._flows[segment.flow] = flow
        flow.add_agents(self._candidates.addresses(services))
        self._due[segment.flow] = flow
        return self._ask_due(now)

    def record_not_owned(self, now: float, flow: bytes, source: Address) -> None:
        """Count a packet that an agent returned, which it may have tried first."""
        self._budget.record(now, flow, source)

    def record_holdings(
        self, now: float, source: Address, message: holdings.Holdings
    ) -> Actions:
        """Apply an answer; forward the packets held for flows that the agent owns."""
        actions: Actions = []
        for key in message.owned:
            flow = self._remove(key)
            if flow is not None:
                actions += [_send(source, carry.Carry(p)) for p in flow.packets]
        for key in message.tried:
            if key in self._flows:
                self._budget.record_report(now, key, source)
        for key in message.missing:
            flow = self._flows.get(key)
            if flow is not None:
                flow.deny(now, source)
                actions += self._probe(now, flow)
        for key in message.unsure:
            flow = self._flows.get(key)
            if flow is not None:
                flow.mark_unsure(source, message.number)
                actions += self._probe(now, flow)
        return actions

    def take_ended(self, now: float) -> list[segment.Segment]:
        """Remove flows that no agent holds; return the latest packet of each."""
        ended = []
        for flow in list(self._flows.values()):
            if flow.denied_at is None or now - flow.denied_at < CONFIRM_SECONDS:
                continue
            if flow.add_agents(self._candidates.addresses(flow.services)):
                self._due[flow.flow] = flow
                continue
            self._remove(flow.flow)
            if self._is_list_current:
                ended.append(flow.latest)
        return ended

    def tick(self, now: float) -> tuple[list[sought_flow.SoughtFlow], Actions]:
        """Ask agents again that have not answered; return expired searches too."""
        expired = []
        actions: Actions = []
        for flow in list(self._flows.values()):
            if now > flow.ends_at:
                self._remove(flow.flow)
                expired.append(flow)
                continue
            actions += self._probe(now, flow)
            if flow.remaining and now >= flow.ask_again_at:
                self._due[flow.flow] = flow
        self._budget.sweep(now)
        return expired, actions + self._ask_due(now)

    def _remove(self, key: bytes) -> sought_flow.SoughtFlow | None:
        self._due.pop(key, None)
        return self._flows.pop(key, None)

    def _probe(self, now: float, flow: sought_flow.SoughtFlow) -> Actions:
        """Try a packet at agents that are unsure, if the rules allow it."""
        if not flow.unsure or flow.trial is None:
            return []
        # The owner is then one of the agents that are unsure, and gets the packet too.
        has_owner = self._is_list_current and not flow.awaits_sure_agent
        if not has_owner and now - flow.began_at < PROBE_DELAY_SECONDS:
            return []
        targets = flow.unprobed()
        if not has_owner and targets:
            targets.sort(key=lambda agent: _rank(flow.flow, agent))
            del targets[self._budget.left(now, flow.flow) :]
        if not targets:
            return []
        if has_owner:
            # A lost probe is noticed with the answer to the next question.
            flow.record_asked(now, sought_flow.FIRST_ANSWER_SECONDS)
            flow.extend(now)
        for agent in targets:
            self._budget.record(now, flow.flow, agent)
            flow.probed[agent] = self._number
        message = probe.Probe(flow.trial.data)
        return [_send(agent, message) for agent in targets]

    def _ask_due(self, now: float) -> Actions:
        if not self._due or now < self._next_batch_at:
            return []
        self._number += 1
        by_agent: dict[Address, list[sought.Sought]] = {}
        for flow in self._due.values():
            flow.record_asked(now)
            ack = flow.latest.ack if flow.latest.is_ack else None
            question = sought.Sought(flow.flow, ack)
            for address in flow.remaining:
                by_agent.setdefault(address, []).append(question)
        self._due.clear()
        pause = max(BATCH_SECONDS, BATCH_SECONDS_PER_AGENT * len(by_agent))
        self._next_batch_at = now + pause
        return [
            _send(address, search.Search(chunk, self._number))
            for address, questions in by_agent.items()
            for chunk in _chunks(questions)
        ]


def _rank(flow: bytes, agent: Address) -> int:
    """Return the order of agents for a flow, which all entries agree on."""
    return xxhash.xxh64_intdigest(f"{agent[0]}:{agent[1]}".encode() + flow)


def _chunks(questions: list[sought.Sought]) -> Iterator[tuple[sought.Sought, ...]]:
    """Yield parts that fit into one message each."""
    for first in range(0, len(questions), MAX_FLOWS_PER_MESSAGE):
        yield tuple(questions[first : first + MAX_FLOWS_PER_MESSAGE])


def _send(address: Address, message: stream_codec.Message) -> msgspec.Struct:
    return send_node.SendNode(address, stream_codec.encode(message))
