"""The rule about open flows, judged by what callers and upstreams have seen."""

from __future__ import annotations

REORDER_SECONDS = 2.0
"""Time in which three packets at other upstreams, and none at the flow's own, show that
the flow was moved."""
MOVED_PACKETS = 3
CONTACT_SECONDS = 4.0
"""Time after an unplanned fault for which a machine is out of touch."""
IDLE_SECONDS = 15.0
MAX_FLOW_SECONDS = 60.0


class FlowRule:
    """Finds sound flows that the system has reset or moved.

    A flow is sound while its upstream lives and neither end has closed it. Resets and
    packets around planned work always count. Around unplanned faults they do not count
    if the upstream's machine, the sender or a control machine had one less than
    `CONTACT_SECONDS` before.

    Parameters
    ----------
    site : deployment.Site
        The deployment after a run.
    """

    def __init__(self, site):
        self._site = site
        self._machines = {m.ip: m.name for m in site.machines}
        self._faults = {}
        self._ends = {}
        self._opened = {}
        self._closed = {}
        for at, what, fields in site.notes:
            if what == "fault":
                self._faults.setdefault(fields["machine"], []).append(at)
            elif what in ("crash", "boot", "depart"):
                self._ends.setdefault(fields["target"], []).append(at)
            elif what == "closed":
                self._closed[fields["flow"]] = at
            elif what == "open":
                self._opened[fields["flow"]] = (at, fields["target"])

    def broken(self):
        """Return a line for each flow that was reset or moved."""
        return [*self._resets(), *self._moves()]

    def _resets(self):
        for at, what, fields in self._site.notes:
            if what != "reset" or fields["by"] != "system" or not fields["open"]:
                continue
            flow, sender = fields["flow"], self._machines.get(fields["source"], "")
            if self._is_sound(flow, at, sender):
                target = self._opened[flow][1]
                yield f"{at:.3f} reset {flow} target {target} by {sender}"

    def _moves(self):
        for flow, arrivals in self._site.arrivals.items():
            if flow not in self._opened:
                continue
            since = self._opened[flow][0]
            target = self._opened[flow][1]
            foreign = [a for a in arrivals if a[0] >= since and a[1] != target]
            for first, name, _ in foreign:
                until = first + REORDER_SECONDS
                inside = [a for a in arrivals if first <= a[0] <= until]
                is_moved = sum(a[1] != target for a in inside) >= MOVED_PACKETS
                if any(a[1] == target for a in inside) or not is_moved:
                    continue
                if self._is_sound(flow, until, name):
                    around = [
                        f"{at:.3f} {machine}"
                        for at, machine, _ in arrivals
                        if first - REORDER_SECONDS <= at <= until
                    ]
                    yield f"{first:.3f} moved {flow} target {target}: {around}"
                    break

    def _is_sound(self, flow, at, sender):
        if flow not in self._opened:
            return False
        opened_at, target = self._opened[flow]
        if at - opened_at > MAX_FLOW_SECONDS or self._is_idle(flow, at):
            return False
        if self._closed.get(flow, at) < at:
            return False
        since = min(opened_at, at - CONTACT_SECONDS)
        if any(since <= end <= at for end in self._ends.get(target, ())):
            return False
        controls = [m.name for m in self._site.controls]
        return not any(
            at - CONTACT_SECONDS <= fault <= at
            for machine in (target, sender, *controls)
            for fault in self._faults.get(machine, ())
        )

    def _is_idle(self, flow, at):
        own = [a[0] for a in self._site.arrivals.get(flow, ()) if a[2] and a[0] < at]
        return bool(own) and at - own[-1] > IDLE_SECONDS
