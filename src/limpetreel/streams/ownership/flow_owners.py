"""Owners of open flows as an entry knows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import stream_key
from limpetreel.streams.actions import log_line, send_caller
from limpetreel.streams.ownership import known_owner, owner_search

if TYPE_CHECKING:
    import msgspec

    from limpetreel.cluster import fleet_view
    from limpetreel.streams import segment, segment_codec
    from limpetreel.streams.messages import holdings
    from limpetreel.streams.ownership import sought_flow

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]
    Fields = dict[str, str | int | float]

MAX_FLOWS = 200_000
"""Bounds the memory for flow owners."""
MAX_NAMES_LOGGED = 5
SWEEP_SECONDS = 1.0
_MS_PER_SECOND = 1000


class FlowOwners:
    """Remembers the owners of flows, finds unknown ones, and resets flows that ended.

    Its attribute `searches` counts the searches by result.

    Parameters
    ----------
    codec : SegmentCodec
        Packet format.
    data_centre : str
        Data centre of the entry.
    first_number : int
        Random number before that of the first question.
    """

    def __init__(
        self, codec: segment_codec.SegmentCodec, data_centre: str, first_number: int
    ) -> None:
        self._codec = codec
        self._owners: dict[bytes, known_owner.KnownOwner] = {}
        self._search = owner_search.OwnerSearch(data_centre, first_number)
        self._names: dict[Address, str] = {}
        self._revision = 0
        self._swept_at = 0.0
        self.searches: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of flows whose owner is known."""
        return len(self._owners)

    @property
    def is_searching(self) -> bool:
        """Return whether the owner of a flow is searched for, or gets a last copy."""
        return bool(len(self._search)) or self._search.has_copies_due

    @property
    def awaits_list(self) -> bool:
        """Return whether a search needs a later list of upstreams."""
        return self._search.awaits_list

    @property
    def probes(self) -> int:
        """Return how many packets were sent to agents that are unsure."""
        return self._search.probes

    def get(self, flow: bytes) -> known_owner.KnownOwner | None:
        """Return the owner of a flow, None if it is not known."""
        return self._owners.get(flow)

    def change_view(self, view: fleet_view.FleetView) -> None:
        """Apply a new list of upstreams."""
        self._names = {(r.host, r.port): r.name for r in view.upstreams}
        self._revision = view.revision
        self._search.change_list(view.upstreams)

    def confirm_list(self, now: float, complete_until: float) -> Actions:
        """Record that the list names all agents that had flows at some time."""
        self._search.complete_until = max(self._search.complete_until, complete_until)
        return self._reset_denied(now)

    def record(self, now: float, flow: bytes, address: Address) -> None:
        """Record the owner of a flow."""
        if len(self._owners) >= MAX_FLOWS:
            self._owners.pop(next(iter(self._owners)))
        self._owners[flow] = known_owner.KnownOwner(address, now)

    def search(
        self, now: float, segment: segment.Segment, services: tuple[str, ...]
    ) -> Actions:
        """Ask agents of services for the owner of a flow."""
        return self._search.add(now, segment, services)

    def forget(self, flow: bytes, source: Address) -> None:
        """Record that an agent does not own a flow."""
        owner = self._owners.get(flow)
        if owner is not None and owner.address == source:
            del self._owners[flow]

    def record_holdings(
        self, now: float, source: Address, message: holdings.Holdings
    ) -> Actions:
        """Apply an agent's answer."""
        actions: Actions = []
        for flow in message.owned:
            self.record(now, flow, source)
            self._count("LOCATED")
            fields: Fields = {
                "flow": stream_key.text(flow),
                "agent": self._names.get(source, ""),
            }
            actions.append(log_line.LogLine("info", "flow.located", fields))
        return actions + self._search.record_holdings(now, source, message)

    def tick(self, now: float) -> Actions:
        """Continue searches; reset flows that no upstream holds."""
        actions = self._reset_denied(now)
        expired, questions = self._search.tick(now)
        for flow in expired:
            actions.append(self._report_expired(flow))
        return actions + questions

    def _reset_denied(self, now: float) -> Actions:
        actions: Actions = []
        for flow in self._search.take_denied():
            # With a known owner it is the next flow from the address of the last one.
            if flow.flow not in self._owners:
                actions += self._reset(now, flow)
        return actions

    def sweep(self, now: float, idle_seconds: float) -> None:
        """Forget the owners of flows without packets for some time."""
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        idle = [k for k, o in self._owners.items() if now - o.last_at > idle_seconds]
        for key in idle:
            del self._owners[key]

    def _reset(self, now: float, flow: sought_flow.SoughtFlow) -> Actions:
        """Reset a flow that no upstream holds; its caller opens a new one at once."""
        self._count("ENDED")
        fields: Fields = {
            "flow": stream_key.text(flow.flow),
            "upstreams": len(flow.seen),
            "revision": self._revision,
            "searched_ms": int((now - flow.began_at) * _MS_PER_SECOND),
            "list_age_ms": int((now - self._search.complete_until) * _MS_PER_SECOND),
        }
        host = stream_key.caller(flow.flow)[0]
        packet = self._codec.reset(flow.flow, flow.latest.ack)
        return [
            send_caller.SendCaller(host, packet),
            log_line.LogLine("info", "flow.ended", fields),
        ]

    def _report_expired(self, flow: sought_flow.SoughtFlow) -> msgspec.Struct:
        silent = sorted(
            self._names.get(agent, f"{agent[0]}:{agent[1]}")
            for agent in flow.remaining
            if agent not in flow.unsure
        )
        if silent:
            result, reason = "SILENT", "agents have not answered"
        elif flow.remaining:
            result, reason = "UNSURE", "agents are unsure"
        else:
            result, reason = "LIST_INCOMPLETE", "list of agents may be incomplete"
        self._count(result)
        fields: Fields = {
            "flow": stream_key.text(flow.flow),
            "reason": reason,
            "silent": ",".join(silent[:MAX_NAMES_LOGGED]),
            "unanswered": len(silent),
            "unsure": len(flow.unsure),
            "probed": len(flow.probed),
            "upstreams": len(flow.seen),
        }
        return log_line.LogLine("warning", "flow.not_located", fields)

    def _count(self, name: str) -> None:
        self.searches[name] = self.searches.get(name, 0) + 1
