"""Agents that control keeps in its log, to know after a restart who has to report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.cluster import upstream_directory
from limpetreel.cluster.commands import register_agents

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limpetreel.cluster.messages import report

SETTLED_SECONDS = 2.0
"""Time of a lease after which the leader takes its list for complete while no agent is
registered; the same time for which entries wait then."""
INTERVAL_SECONDS = 0.2
"""Minimum interval between entries of the log for agents."""
CHECK_SECONDS = 2.0
"""Interval at which the leader looks for agents that were silent for too long."""
UNCONFIRMED_SECONDS = 5.0
"""Time without a lease after which an agent is published even if it is not registered.
A site without a quorum would otherwise use no new upstream."""
MAX_AGENTS = 16_384
"""Three times the design size; beyond it, entries wait as without a register."""


class AgentRegistry:
    """Decides which agents are registered, and whether all of them have reported.

    Parameters
    ----------
    directory : UpstreamDirectory
        Upstreams that have been reported since the start of this instance.
    """

    def __init__(self, directory: upstream_directory.UpstreamDirectory) -> None:
        self._directory = directory
        self._agents: frozenset[str] = frozenset()
        self._missing: set[str] = set()
        # Registered agents that have reported their end, so that no flow is left there.
        self._ended: set[str] = set()
        self._held: dict[str, report.Report] = {}
        self._unconfirmed_since: float | None = None
        self._led_since: float | None = None
        self._next_at = self._check_at = float("-inf")
        self._unregistered: set[str] = set()

    @property
    def is_complete(self) -> bool | None:
        """Return whether all registered agents have reported; None if unknown."""
        if not self._agents or len(self._agents) >= MAX_AGENTS:
            return None
        return not self._missing

    @property
    def missing(self) -> frozenset[str]:
        """Return the registered agents that have not reported."""
        return frozenset(self._missing)

    def kept(self, now: float) -> frozenset[str]:
        """Return agents that stay in the directory without reports.

        The reports may reach other instances only. The leader removes an agent from
        the register once it has not heard it for long.
        """
        if self._led_since is None:
            return self._agents
        has_led_long = now - self._led_since >= upstream_directory.REMOVAL_SECONDS
        return frozenset() if has_led_long else self._agents

    def replace(self, agents: frozenset[str]) -> list[report.Report]:
        """Set the registered agents; return the reports that waited for it."""
        added = agents - self._agents
        self._missing = {n for n in self._missing if n in agents}
        self._missing.update(n for n in added if n not in self._held)
        self._missing -= {n for n in added if self._directory.knows(n)}
        self._agents = agents
        self._ended &= agents
        self._unregistered -= agents
        return [self._held.pop(n) for n in added if n in self._held]

    def admit(self, now: float, new_report: report.Report, has_lease: bool) -> bool:
        """Return whether a report may be published; keep it otherwise.

        An agent takes flows only once it is published. Whoever may have flows is
        registered before, so no flow is taken for ended while its agent is away. One
        that has ended is about to be removed, and is registered again if it returns.
        """
        name = new_report.record.name
        if self._directory.is_outdated(new_report):
            return True
        self._missing.discard(name)
        if new_report.record.has_ended:
            self._record_end(name)
            return True
        is_registered = name in self._agents and name not in self._ended
        if not is_registered:
            self._unregistered.add(name)
        is_known = is_registered or self._directory.is_active(name)
        if is_known or self.is_complete is None or self._is_alone(now, has_lease):
            self._held.pop(name, None)
            return True
        self._held[name] = new_report
        return False

    def _is_alone(self, now: float, has_lease: bool) -> bool:
        if has_lease:
            self._unconfirmed_since = None
        elif self._unconfirmed_since is None:
            self._unconfirmed_since = now
        since = self._unconfirmed_since
        return since is not None and now - since >= UNCONFIRMED_SECONDS

    def _record_end(self, name: str) -> None:
        self._held.pop(name, None)
        self._unregistered.discard(name)
        if name in self._agents:
            self._ended.add(name)

    def is_held(self, name: str) -> bool:
        """Return whether the report of an agent waits for its registration."""
        return name in self._held

    def next_change(
        self, now: float, leads: bool
    ) -> register_agents.RegisterAgents | None:
        """Return the next entry for the log, None if none is due.

        Parameters
        ----------
        now : float
            Time in seconds.
        leads : bool
            Whether this instance is the leader and has a lease.
        """
        if not leads:
            self._led_since = None
            return None
        if self._led_since is None:
            self._led_since = now
        led_seconds = now - self._led_since
        if not self._is_due(now) or (
            not self._agents and led_seconds < SETTLED_SECONDS
        ):
            return None
        self._next_at = now + INTERVAL_SECONDS
        self._unregistered = {
            name
            for name in self._unregistered
            if name in self._held or self._directory.is_active(name)
        }
        # One that has returned and is published again may have flows.
        self._ended = {n for n in self._ended if not self._directory.is_active(n)}
        removed = set(self._ended)
        if now >= self._check_at:
            self._check_at = now + CHECK_SECONDS
            if led_seconds >= upstream_directory.REMOVAL_SECONDS:
                removed |= {n for n in self._agents if not self._directory.knows(n)}
        added = self._unregistered - removed
        return _change(added, removed, MAX_AGENTS - len(self._agents))

    def _is_due(self, now: float) -> bool:
        has_news = bool(self._unregistered or self._ended) and now >= self._next_at
        return has_news or now >= self._check_at


def _change(
    added: Iterable[str], removed: Iterable[str], room: int
) -> register_agents.RegisterAgents | None:
    first, last = tuple(sorted(added)[: max(0, room)]), tuple(sorted(removed))
    if not first and not last:
        return None
    return register_agents.RegisterAgents(first, last)
