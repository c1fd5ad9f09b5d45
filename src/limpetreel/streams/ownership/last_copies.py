"""Copies of probed packets that reach the owner of a flow after all others."""

from __future__ import annotations

import typing
from typing import TYPE_CHECKING

from limpetreel.streams.actions import send_node
from limpetreel.streams.messages import carry, stream_codec

if TYPE_CHECKING:
    import msgspec

    from limpetreel.streams.ownership import sought_flow

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]

WAIT_SECONDS = 0.3
"""Time for the answers of agents that were probed besides the owner."""
MAX_FLOWS = 4096


class _LastCopy(typing.NamedTuple):
    """Packet for an owner, and the agents whose upstreams may get theirs later."""

    owner: Address
    packet: bytes
    agents: set[Address]
    due_at: float


class LastCopies:
    """Sends the packet of a probe to the owner again once all others have got theirs.

    A caller may send nothing for seconds after the packet that was tried at several
    agents. If the owner's upstream gets it first, the others' upstreams are the last
    that get packets of the flow, as if it had been moved there.
    """

    def __init__(self) -> None:
        self._copies: dict[bytes, _LastCopy] = {}

    def __len__(self) -> int:
        """Return the number of flows whose last copy is due."""
        return len(self._copies)

    def add(self, now: float, flow: sought_flow.SoughtFlow, owner: Address) -> None:
        """Record that an owner has been found while other agents may be probed."""
        agents = {a for a in flow.probed if a in flow.remaining and a != owner}
        if not agents or flow.trial is None:
            return
        if len(self._copies) >= MAX_FLOWS:
            del self._copies[next(iter(self._copies))]
        self._copies[flow.flow] = _LastCopy(
            owner, flow.trial.data, agents, now + WAIT_SECONDS
        )

    def record_denial(self, key: bytes, agent: Address) -> Actions:
        """Record that an agent's upstream has returned the packet of its probe."""
        copy = self._copies.get(key)
        if copy is None:
            return []
        copy.agents.discard(agent)
        return [] if copy.agents else self._take(key)

    def tick(self, now: float) -> Actions:
        """Send the copies for which no answer is awaited any longer."""
        actions: Actions = []
        for key in [k for k, copy in self._copies.items() if now >= copy.due_at]:
            actions += self._take(key)
        return actions

    def _take(self, key: bytes) -> Actions:
        copy = self._copies.pop(key)
        message = stream_codec.encode(carry.Carry(copy.packet))
        return [send_node.SendNode(copy.owner, message)]
