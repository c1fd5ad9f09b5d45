"""Signs that an upstream accepts openings but fails their requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.messages import outcome

if TYPE_CHECKING:
    from limpetreel.streams.messages import verdict
    from limpetreel.streams.placement import service_means

LATE_FACTOR = 4.0
"""Service time over the median of the service from which an upstream is late. Speeds
differ by 0.6 to 1.6, and a cold upstream takes 1.6 times as long."""
STUCK_UTILISATION = 0.9
"""Utilisation from which an upstream may be stuck."""
CALM_UTILISATION = 0.75
"""Mean utilisation of the service up to which another one has no reason to be full."""
IDLE_SHARE = 0.125
"""Part of the mean utilisation up to which an upstream that gets flows answers hardly
any requests."""
ACTIVE_UTILISATION = 0.2
"""Mean utilisation of the service from which an idle upstream is remarkable."""
MAX_IDLE_FLOWS = 5
"""Accepted flows of this entry after which an idle upstream counts as failing."""
FIRST_PAUSE_SECONDS = 1.0
"""Pause before the first trial; doubles with each trial that fails, up to the
maximum. An upstream that has recovered shows it in the averages of its agent after
about ten flows, so the trials of all entries must not be too rare."""
MAX_PAUSE_SECONDS = 4.0


class UpstreamHealth:
    """Judges an upstream by what its agent reports."""

    __slots__ = ("_idle_flows", "is_failing", "pause")

    def __init__(self) -> None:
        self._idle_flows = 0
        self.is_failing = False
        self.pause = FIRST_PAUSE_SECONDS / 2

    def record(
        self, message: verdict.Verdict, means: service_means.ServiceMeans
    ) -> str:
        """Record a report and return why the upstream counts as failing, if it does."""
        reason = self._reason(message, means)
        if reason:
            self.pause = min(MAX_PAUSE_SECONDS, 2 * self.pause)
        elif not self._idle_flows:
            self.pause = FIRST_PAUSE_SECONDS / 2
        self.is_failing = bool(reason)
        return reason

    def _reason(
        self, message: verdict.Verdict, means: service_means.ServiceMeans
    ) -> str:
        if message.service_ms / 1000 > LATE_FACTOR * means.median_service_seconds:
            return "late"
        utilisation = message.utilisation / 100
        if utilisation >= STUCK_UTILISATION and means.utilisation <= CALM_UTILISATION:
            return "stuck"
        is_active = means.utilisation >= ACTIVE_UTILISATION
        if utilisation > IDLE_SHARE * means.utilisation or not is_active:
            self._idle_flows = 0
            return ""
        if message.outcome is outcome.Outcome.ACCEPTED:
            self._idle_flows += 1
        if self._idle_flows < MAX_IDLE_FLOWS:
            return ""
        # One answered request does not show in the utilisation, so a trial takes as
        # many flows again.
        self._idle_flows = 0
        return "idle"
