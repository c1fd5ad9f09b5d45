"""Recent owners of flows."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from limpetreel.catalog import member_state, role, table

if TYPE_CHECKING:
    from limpetreel.catalog import member_record
    from limpetreel.wire import address

    Flow = tuple[int, address.Address]

MAX_HINTS = 16_384
"""Takes about 4 MB. A missing hint costs one relay between agents."""


class OwnerHints:
    """Caches owners of flows other than the bucket's primary, learned from answers.

    A hint saves a relay. It may be missing or outdated, because an agent that does
    not own a flow relays its packets to the primary.

    Parameters
    ----------
    node_table : Table
        Table of the node.
    """

    def __init__(self, node_table: table.Table) -> None:
        self._table = node_table
        self._hints: collections.OrderedDict[Flow, int] = collections.OrderedDict()
        self._revision = -1
        self.change_count = 0
        self._serving_agents: dict[int, member_record.MemberRecord] = {}

    def learn(self, flow: Flow, owner: int, primary: int) -> None:
        """Record which agent answered a packet of a flow.

        Parameters
        ----------
        flow : tuple of int and Address
            Class id and caller.
        owner, primary : int
            Node ids of the agent that answered and of the bucket's primary.
        """
        if owner == primary:
            if self._hints.pop(flow, None) is not None:
                self.change_count += 1
            return
        # A hint in use is not moved to the end, so that only answers that change a
        # hint have to be recorded for replay.
        if self._hints.get(flow) == owner:
            return
        self.change_count += 1
        self._hints[flow] = owner
        if len(self._hints) > MAX_HINTS:
            self._hints.popitem(last=False)

    def find(self, flow: Flow) -> member_record.MemberRecord | None:
        """Return the owner of a flow if it is known and serving, else None."""
        owner = self._hints.get(flow)
        if owner is None:
            return None
        if self._table.revision != self._revision:
            self._refresh()
        agent = self._serving_agents.get(owner)
        if agent is None:
            del self._hints[flow]
            self.change_count += 1
        return agent

    def _refresh(self) -> None:
        self._revision = self._table.revision
        self._serving_agents = {
            m.node_id: m
            for m in self._table.members()
            if m.role is role.Role.AGENT
            and m.state is not member_state.MemberState.LOST
            and self._table.is_zone_serving(m.zone)
        }
