"""Questions about the owners of flows, and to which flows an answer belongs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.actions import send_node
from limpetreel.streams.messages import search, sought, stream_codec
from limpetreel.streams.ownership import question

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    import msgspec

    from limpetreel.streams.ownership import sought_flow

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]
    Flows = Sequence[sought_flow.SoughtFlow]

MAX_FLOWS_PER_MESSAGE = 40
"""Keeps a message within one packet of 1,200 bytes."""
ANSWER_SECONDS = 4.0
"""Time for which an answer is accepted, as long as a search lasts."""


class Questions:
    """Sends numbered questions, and remembers the flows of each.

    Parameters
    ----------
    first_number : int
        Number before the first one. Answers to an earlier process of the entry must not
        match, so it is random.
    """

    def __init__(self, first_number: int) -> None:
        self.last_number = first_number
        self._asked: dict[int, question.Question] = {}
        self._unapplied: dict[int, question.Question] = {}

    def ask(self, now: float, flows: Flows, agents: Iterable[Address]) -> Actions:
        """Return one or more questions about flows to each of several agents."""
        actions: Actions = []
        agents = list(agents)
        for first in range(0, len(flows), MAX_FLOWS_PER_MESSAGE):
            chunk = flows[first : first + MAX_FLOWS_PER_MESSAGE]
            self.last_number += 1
            asked = question.Question(now, chunk, agents)
            self._asked[self.last_number] = asked
            message = search.Search(
                tuple(sought.Sought(flow.flow, flow.ack) for flow in chunk),
                self.last_number,
            )
            data = stream_codec.encode(message)
            actions += [send_node.SendNode(agent, data) for agent in agents]
        return actions

    def flows(self, number: int) -> Flows:
        """Return the flows of a question, none if it is unknown."""
        asked = self._asked.get(number)
        return asked.flows if asked is not None else ()

    def record_denial(self, number: int, agent: Address) -> question.Question | None:
        """Record that an agent denies all flows of a question.

        Returns
        -------
        Question or None
            The question if all agents have denied it.
        """
        asked = self._asked.get(number)
        if asked is None:
            return None
        asked.denied.add(agent)
        asked.unanswered.discard(agent)
        if asked.unanswered:
            self._unapplied[number] = asked
            return None
        self._unapplied.pop(number, None)
        return asked

    def take_unapplied(self) -> list[question.Question]:
        """Remove and return questions with denials that are not applied yet."""
        unapplied = list(self._unapplied.values())
        self._unapplied.clear()
        return unapplied

    def sweep(self, now: float) -> None:
        """Forget old questions."""
        while self._asked:
            number, asked = next(iter(self._asked.items()))
            if now - asked.asked_at <= ANSWER_SECONDS:
                return
            del self._asked[number]
