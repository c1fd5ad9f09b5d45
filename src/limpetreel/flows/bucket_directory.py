"""Directory of the flow owners of one bucket."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from limpetreel.flows import flow_count, owned_flows

if TYPE_CHECKING:
    from limpetreel.flows import flow_key

    Owner = tuple[int, int]

REFRESH_SECONDS = 120.0
IDLE_SECONDS = owned_flows.IDLE_SECONDS + 3 * REFRESH_SECONDS
"""Longer than at the owner, so that the owner expires a flow first, even if two of its
refreshes are lost."""


class BucketDirectory:
    """Owner, as (node id, incarnation), by flow; least recently used first.

    Parameters
    ----------
    count : FlowCount or None
        Total that includes the flows of this directory.
    """

    def __init__(self, count: flow_count.FlowCount | None = None) -> None:
        self._count = count or flow_count.FlowCount()
        self._entries: collections.OrderedDict[flow_key.FlowKey, _Entry]
        self._entries = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._entries)

    def owner(self, flow: flow_key.FlowKey) -> Owner | None:
        """Return the owner of a flow, or None."""
        entry = self._entries.get(flow)
        return entry.owner if entry else None

    def put(
        self, now: float, flow: flow_key.FlowKey, owner: Owner, offered: bool = False
    ) -> None:
        """Record the owner of a flow, or a use of the flow."""
        entry = self._entries.get(flow)
        if entry is None:
            self._count.total += 1
        if entry is None or entry.owner != owner:
            self._entries[flow] = _Entry(owner, now, offered)
        else:
            entry.last_used_at = now
            entry.is_offer = entry.is_offer and offered
        self._entries.move_to_end(flow)

    def withdraw_offer(self, flow: flow_key.FlowKey, owner: Owner) -> None:
        """Delete an entry whose owner refused the flow.

        The entry stays if a second packet was relayed, since the owner may have
        accepted that one.
        """
        entry = self._entries.get(flow)
        if entry is not None and entry.owner == owner and entry.is_offer:
            self._delete(flow)

    def clear(self) -> None:
        """Remove all flows."""
        self._count.total -= len(self._entries)
        self._entries.clear()

    def expire(self, now: float) -> None:
        """Remove flows that were not used or refreshed for `IDLE_SECONDS`."""
        while self._entries:
            flow, entry = next(iter(self._entries.items()))
            if entry.last_used_at + IDLE_SECONDS > now:
                return
            self._delete(flow)

    def _delete(self, flow: flow_key.FlowKey) -> None:
        del self._entries[flow]
        self._count.total -= 1


class _Entry:
    """Owner and last use of one flow."""

    __slots__ = ("is_offer", "last_used_at", "owner")

    def __init__(self, owner: Owner, last_used_at: float, is_offer: bool) -> None:
        self.owner = owner
        self.last_used_at = last_used_at
        self.is_offer = is_offer
