"""Search for the agents that own flows which an entry has not seen."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from limpetreel.streams.actions import send_node
from limpetreel.streams.messages import carry, probe, stream_codec
from limpetreel.streams.ownership import (
    known_agents,
    last_copies,
    questions,
    sought_flow,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    import msgspec

    from limpetreel.cluster import upstream_record
    from limpetreel.streams import segment
    from limpetreel.streams.messages import holdings
    from limpetreel.streams.ownership import question

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]

BATCH_SECONDS = 0.02
"""Time for which flows are collected for one question to each agent."""
BATCH_SECONDS_PER_AGENT = 0.002
"""Part of that time for each agent that is asked; bounds the messages of an entry to
500 a second, however many flows it searches for."""
MAX_FLOWS = 4096
MAX_FLOWS_PER_ROUND = 400
"""Ten messages to each agent; bounds the burst on a small link."""


class OwnerSearch:
    """Asks the agents of a service for the owners of flows, many flows at a time.

    A flow that no agent of its services holds has ended: its upstream has restarted or
    lost it. An agent that does not answer leaves it open.

    Agents that are unsure are sent a packet of the flow, which their upstreams return
    if they do not hold it, once one of these agents must be the owner.

    Its attribute `complete_until` is the latest time at which all agents that had flows
    are known, and `probes` counts the packets that were sent to unsure agents. A flow
    that is searched for was opened before the search, so a list that is complete up to
    the start of the search names its owner.

    Parameters
    ----------
    data_centre : str
        Data centre of the entry.
    first_number : int
        Random number before that of the first question.
    """

    def __init__(self, data_centre: str, first_number: int) -> None:
        self._known = known_agents.KnownAgents(data_centre)
        self.complete_until = float("-inf")
        self._flows: dict[bytes, sought_flow.SoughtFlow] = {}
        self._due: dict[bytes, sought_flow.SoughtFlow] = {}
        self._denied: dict[bytes, sought_flow.SoughtFlow] = {}
        self._questions = questions.Questions(first_number)
        self._last_copies = last_copies.LastCopies()
        self._next_batch_at = float("-inf")
        self.probes = 0

    def __len__(self) -> int:
        """Return the number of flows that are searched for."""
        return len(self._flows)

    @property
    def has_copies_due(self) -> bool:
        """Return whether an owner gets a packet again soon."""
        return bool(len(self._last_copies))

    @property
    def awaits_list(self) -> bool:
        """Return whether a search needs a list that is complete up to its start."""
        return any(
            not self._has_owner_listed(flow) and not flow.awaits_sure_agent
            for flow in self._flows.values()
        )

    def _has_owner_listed(self, flow: sought_flow.SoughtFlow) -> bool:
        return self.complete_until >= flow.began_at

    def change_list(self, records: Iterable[upstream_record.UpstreamRecord]) -> None:
        """Replace the list of agents, and ask those that have become known.

        Parameters
        ----------
        records : iterable of UpstreamRecord
            Known upstreams.
        """
        self._known.update(records)
        for flow in self._flows.values():
            if flow.add_agents(self._known.groups(flow.services)):
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
        flow.add_agents(self._known.groups(services))
        self._due[segment.flow] = flow
        return self._ask_due(now)

    def record_holdings(
        self, now: float, source: Address, message: holdings.Holdings
    ) -> Actions:
        """Apply an answer; forward the packets held for flows that the agent owns."""
        actions: Actions = []
        for key in message.owned:
            flow = self._remove(key)
            if flow is not None:
                actions += [_send(source, carry.Carry(p)) for p in flow.packets]
                self._last_copies.add(now, flow, source)
        for key in message.unsure:
            flow = self._flows.get(key)
            if flow is not None:
                flow.mark_unsure(source, message.number)
                actions += self._probe(now, flow)
        return actions + self._record_denials(now, source, message)

    def _record_denials(
        self, now: float, source: Address, message: holdings.Holdings
    ) -> Actions:
        """Apply an answer to the flows that an agent's upstream does not hold."""
        denied = [self._flows[key] for key in message.missing if key in self._flows]
        actions = self._deny(now, denied, {source})
        for key in message.missing:
            actions += self._last_copies.record_denial(key, source)
        if not message.is_rest_missing:
            return actions
        named = {*message.owned, *message.unsure, *message.pending}
        if not named:
            asked = self._questions.record_denial(message.number, source)
            return actions + (self._apply_denials(now, asked) if asked else [])
        rest = [
            flow
            for flow in self._questions.flows(message.number)
            if flow.flow not in named
        ]
        return actions + self._deny(now, rest, {source})

    def _apply_denials(self, now: float, asked: question.Question) -> Actions:
        return self._deny(now, asked.flows, asked.take_denied())

    def _deny(
        self,
        now: float,
        flows: Iterable[sought_flow.SoughtFlow],
        agents: set[Address],
    ) -> Actions:
        actions: Actions = []
        for flow in flows:
            # A later search may be for the same flow.
            if self._flows.get(flow.flow) is not flow:
                continue
            flow.deny(now, agents)
            if flow.denied_at is not None:
                self._add_others(flow)
                self._denied[flow.flow] = flow
            elif flow.unsure:
                actions += self._probe(now, flow)
        return actions

    def take_denied(self) -> list[sought_flow.SoughtFlow]:
        """Remove and return flows that all agents have denied.

        While the list of agents may lack their owner they are kept, and no agent is
        asked again.
        """
        denied = []
        for flow in list(self._denied.values()):
            if flow.denied_at is None:
                # An agent has become known meanwhile.
                del self._denied[flow.flow]
            elif self._add_others(flow):
                continue
            elif self._has_owner_listed(flow):
                self._remove(flow.flow)
                denied.append(flow)
        return denied

    def tick(self, now: float) -> tuple[list[sought_flow.SoughtFlow], Actions]:
        """Ask agents again that have not answered; return expired searches too."""
        expired = []
        actions: Actions = self._last_copies.tick(now)
        for asked in self._questions.take_unapplied():
            actions += self._apply_denials(now, asked)
        for flow in list(self._flows.values()):
            if not self._has_owner_listed(flow) and not flow.awaits_sure_agent:
                flow.await_list()
            if now > flow.ends_at:
                self._remove(flow.flow)
                expired.append(flow)
                continue
            if flow.unsure:
                actions += self._probe(now, flow)
            if flow.remaining and now >= flow.ask_again_at:
                self._due[flow.flow] = flow
        self._questions.sweep(now)
        return expired, actions + self._ask_due(now)

    def _add_others(self, flow: sought_flow.SoughtFlow) -> bool:
        """Ask agents of services that an earlier configuration may have routed to."""
        is_changed = flow.add_agents(self._known.others(flow.services))
        if is_changed:
            self._due[flow.flow] = flow
        return is_changed

    def _remove(self, key: bytes) -> sought_flow.SoughtFlow | None:
        self._due.pop(key, None)
        self._denied.pop(key, None)
        return self._flows.pop(key, None)

    def _probe(self, now: float, flow: sought_flow.SoughtFlow) -> Actions:
        """Try a packet at all agents that are unsure if one of them is the owner.

        Otherwise the packet would reach only upstreams that do not hold the flow.
        """
        if not flow.unsure or flow.trial is None:
            return []
        if not self._has_owner_listed(flow) or flow.awaits_sure_agent:
            return []
        targets = flow.unprobed()
        if not targets:
            return []
        # A lost probe is noticed with the answer to the next question.
        flow.extend(now)
        for agent in targets:
            flow.probed[agent] = self._questions.last_number
        self.probes += len(targets)
        message = probe.Probe(flow.trial.data)
        return [_send(agent, message) for agent in targets]

    def _ask_due(self, now: float) -> Actions:
        if not self._due or now < self._next_batch_at:
            return []
        # Flows that are sought for the first time share their agents, and a message.
        first: dict[tuple[Address, ...], list[sought_flow.SoughtFlow]] = {}
        again: dict[Address, list[sought_flow.SoughtFlow]] = {}
        for key in list(itertools.islice(self._due, MAX_FLOWS_PER_ROUND)):
            flow = self._due.pop(key)
            group = flow.take_group()
            if group:
                first.setdefault(group, []).append(flow)
            else:
                for agent in flow.remaining:
                    again.setdefault(agent, []).append(flow)
            flow.record_asked(now)
        actions: Actions = []
        for agents, flows in first.items():
            actions += self._questions.ask(now, flows, agents)
        for agent, flows in again.items():
            actions += self._questions.ask(now, flows, (agent,))
        asked = len({*again, *itertools.chain.from_iterable(first)})
        pause = max(BATCH_SECONDS, BATCH_SECONDS_PER_AGENT * asked)
        self._next_batch_at = now + pause
        return actions


def _send(address: Address, message: stream_codec.Message) -> msgspec.Struct:
    return send_node.SendNode(address, stream_codec.encode(message))
