"""Whether an entry knows the upstreams that its configuration routes to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.cluster import fleet_view
    from limpetreel.configuration import configuration
    from limpetreel.streams.placement import candidates

COMPLETE_SECONDS = 2.0
"""Time after which a configuration's services without a known upstream have none.
Control sends the list within 1 s, and upstreams announce themselves within one
announcement interval."""


class KnownServices:
    """Tells whether the list of upstreams may still be incomplete.

    It is complete when it names an upstream of each service of the configuration, when
    control says so, or some time after the configuration has arrived.

    Parameters
    ----------
    candidates : Candidates
        Known agents.
    """

    def __init__(self, candidates: candidates.Candidates) -> None:
        self._candidates = candidates
        self._services: frozenset[str] = frozenset()
        self._complete_at = float("inf")
        self._is_list_current = False
        self._has_upstreams = False
        self._was_complete = False

    @property
    def is_ready(self) -> bool:
        """Return whether the entry should get packets.

        A later configuration with a new service does not make it unready.
        """
        return self._was_complete and self._has_upstreams

    def update(self, now: float, view: fleet_view.FleetView, is_new: bool) -> None:
        """Apply an update from control.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        view : FleetView
            State of the fleet.
        is_new : bool
            Whether the configuration has just come into force.
        """
        self._is_list_current = view.is_list_current
        self._has_upstreams = bool(view.upstreams)
        if is_new and view.configuration is not None:
            self._services = _routed_services(view.configuration)
            self._complete_at = now + COMPLETE_SECONDS
        self.tick(now)

    def tick(self, now: float) -> None:
        """Record whether the list has become complete."""
        if not self._was_complete:
            knows_all = all(map(self._candidates.knows_service, self._services))
            has_configuration = self._complete_at < float("inf")
            self._was_complete = has_configuration and (
                knows_all or self._is_complete(now)
            )

    def may_appear(self, now: float, service: str) -> bool:
        """Return whether the first upstream of a service may become known soon."""
        if self._candidates.knows_service(service):
            return False
        return not self._is_complete(now)

    def _is_complete(self, now: float) -> bool:
        return self._is_list_current or now >= self._complete_at


def _routed_services(source: configuration.Configuration) -> frozenset[str]:
    """Return the services that new flows can be sent to."""
    return frozenset(s.name for r in source.routes for s in r.services if s.weight > 0)
