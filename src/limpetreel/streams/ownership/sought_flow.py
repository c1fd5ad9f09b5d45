"""Flow whose owner an entry does not know."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limpetreel.streams import segment

    Address = tuple[str, int]
    Trial = segment.Segment | None

MAX_HELD_PACKETS = 4
"""Packets that wait for the owner; a caller retransmits what is dropped."""
FIRST_ANSWER_SECONDS = 0.15
"""Time after which the agents that have not answered are asked again. It doubles with
each question, since the link or the processor of an entry may be what delays them."""
NEXT_GROUP_SECONDS = 0.05
"""Time for the answers of the agents that are asked first; a round trip and pauses of
the machines. Others are asked earlier if those have denied the flow."""
MAX_SECONDS = 2.0
"""Time after which a search without an answer of all agents ends."""


class SoughtFlow:
    """State of one search.

    Parameters
    ----------
    now : float
        Time in seconds.
    segment : Segment
        Packet of the flow.
    services : tuple of str
        Services whose upstreams may hold the flow.
    """

    __slots__ = (
        "ask_again_at",
        "began_at",
        "denied_at",
        "ends_at",
        "flow",
        "groups",
        "latest",
        "packets",
        "probed",
        "remaining",
        "seen",
        "services",
        "trial",
        "unsure",
        "wait_seconds",
    )

    def __init__(
        self, now: float, segment: segment.Segment, services: tuple[str, ...]
    ) -> None:
        self.flow = segment.flow
        self.services = services
        self.began_at = now
        self.ends_at = now + MAX_SECONDS
        # Agents that have not been asked yet, in the order in which they are.
        self.groups: list[tuple[Address, ...]] = []
        self.ask_again_at = float("inf")
        self.wait_seconds = FIRST_ANSWER_SECONDS
        self.denied_at: float | None = None
        # Agents that have not said for certain whether they hold the flow.
        # Dictionaries keep the order, so that a run can be repeated.
        self.remaining: dict[Address, None] = {}
        # Those of them that have answered that they are unsure.
        self.unsure: dict[Address, None] = {}
        # All agents that may own the flow, with those that have denied it.
        self.seen: set[Address] = set()
        # Number of the last question before the probe of each agent.
        self.probed: dict[Address, int] = {}
        self.packets: collections.deque[bytes] = collections.deque(
            maxlen=MAX_HELD_PACKETS
        )
        self.trial: Trial = None
        self.add_packet(segment)

    @property
    def ack(self) -> int | None:
        """Return the last number that the caller acknowledged, None without one."""
        return self.latest.ack if self.latest.is_ack else None

    @property
    def awaits_sure_agent(self) -> bool:
        """Return whether an agent has neither answered nor said that it is unsure."""
        return len(self.unsure) < len(self.remaining)

    def add_packet(self, segment: segment.Segment) -> None:
        """Hold a packet until the owner is known."""
        self.latest = segment
        self.packets.append(segment.data)
        if segment.size or segment.is_fin:
            # An upstream that holds the flow reacts to it, which ends a probe.
            self.trial = segment

    def take_group(self) -> tuple[Address, ...]:
        """Remove and return the agents to ask next, none if all have been asked."""
        return self.groups.pop(0) if self.groups else ()

    def record_asked(self, now: float) -> None:
        """Record that a group of agents, or all that remain, were asked."""
        if self.groups:
            self.ask_again_at = now + NEXT_GROUP_SECONDS
            return
        self.ask_again_at = now + self.wait_seconds
        self.wait_seconds *= 2

    def extend(self, now: float) -> None:
        """Search for longer, since the owner is being probed.

        A lost probe is noticed with the answer to the next question.
        """
        self.ask_again_at = now + FIRST_ANSWER_SECONDS
        self.wait_seconds = 2 * FIRST_ANSWER_SECONDS
        self.ends_at = min(now, self.began_at + MAX_SECONDS) + MAX_SECONDS

    def await_list(self) -> None:
        """Search for longer, since the list of agents becomes complete within 2 s."""
        self.ends_at = self.began_at + 2 * MAX_SECONDS

    def add_agents(self, known: Iterable[tuple[Address, ...]]) -> bool:
        """Add groups of agents that may own the flow; return whether any is new."""
        is_changed = False
        is_later = bool(self.seen)
        for group in known:
            if self.seen.issuperset(group):
                continue
            if not self.seen.isdisjoint(group):
                group = tuple(agent for agent in group if agent not in self.seen)
            self.seen.update(group)
            self.remaining.update(dict.fromkeys(group))
            if is_later and self.groups:
                # Agents that become known one by one are asked together.
                self.groups[-1] += group
            else:
                self.groups.append(group)
            is_changed = True
        if is_changed:
            self.denied_at = None
            self.wait_seconds = FIRST_ANSWER_SECONDS
        return is_changed

    def deny(self, now: float, agents: set[Address]) -> None:
        """Record that the upstreams of agents do not hold the flow."""
        before = len(self.remaining)
        if len(agents) == 1:
            for agent in agents:
                self.remaining.pop(agent, None)
                self.unsure.pop(agent, None)
        else:
            self.remaining = {a: None for a in self.remaining if a not in agents}
            self.unsure = {a: None for a in self.unsure if a not in agents}
        if before and not self.remaining:
            self.denied_at = now
        elif self.groups and len(self.remaining) == sum(map(len, self.groups)):
            self.ask_again_at = now

    def mark_unsure(self, agent: Address, number: int) -> None:
        """Record that an agent does not know whether its upstream holds the flow.

        Parameters
        ----------
        agent : tuple of (str, int)
            Address of the agent.
        number : int
            Number of the question that it answered.
        """
        if agent not in self.remaining:
            return
        self.unsure[agent] = None
        if agent in self.probed and number > self.probed[agent]:
            # It was asked after the probe, which it has not got.
            del self.probed[agent]

    def unprobed(self) -> list[Address]:
        """Return the agents that a packet may be tried at."""
        return [agent for agent in self.unsure if agent not in self.probed]
