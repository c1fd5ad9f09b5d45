"""Bound on packets that are tried on upstreams which may not hold the flow."""

from __future__ import annotations

Address = tuple[str, int]

MAX_PROBES = 2
"""Packets of one flow that may reach upstreams which do not hold it, within the window,
while its own has got none."""
WINDOW_SECONDS = 3.0
"""The 2 s of that rule, and 1 s by which two messages may be delayed differently."""
SWEEP_SECONDS = 1.0


class ProbeBudget:
    """Agents at which a packet of a flow was tried of late, by this entry or another.

    It outlasts a search for the owner.
    """

    def __init__(self) -> None:
        self._tried: dict[bytes, dict[Address, float]] = {}
        self._swept_at = float("-inf")

    def left(self, now: float, flow: bytes) -> int:
        """Return at how many agents a packet of a flow may still be tried."""
        tried = self._tried.get(flow)
        if tried is None:
            return MAX_PROBES
        recent = sum(now - at < WINDOW_SECONDS for at in tried.values())
        return max(0, MAX_PROBES - recent)

    def record(self, now: float, flow: bytes, agent: Address) -> None:
        """Record that a packet of a flow was tried at an agent."""
        self._tried.setdefault(flow, {})[agent] = now

    def record_report(self, now: float, flow: bytes, agent: Address) -> None:
        """Record that an agent has tried a packet, maybe one of another entry."""
        self._tried.setdefault(flow, {}).setdefault(agent, now)

    def sweep(self, now: float) -> None:
        """Remove flows without recent probes."""
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        old = [
            flow
            for flow, tried in self._tried.items()
            if now - max(tried.values()) >= WINDOW_SECONDS
        ]
        for flow in old:
            del self._tried[flow]
