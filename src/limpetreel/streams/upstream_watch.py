"""What an agent believes of its upstream."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import upstream_status

SILENT_BEATS = 2.6
"""Announcements that may be missed before the upstream counts as gone."""
RETRY_SECONDS = 0.5
"""Time after an unanswered opening packet in which no further one is sent."""


class Freshness(enum.Enum):
    """How an announcement relates to the ones before."""

    LATE = "late"
    SAME_START = "same start"
    NEW_START = "new start"


class UpstreamWatch:
    """State of the upstream, from its announcements and its answers.

    Parameters
    ----------
    beat_seconds : float
        Time between announcements.
    """

    def __init__(self, beat_seconds: float) -> None:
        self._silent_seconds = beat_seconds * SILENT_BEATS
        self._heard_at = float("-inf")
        self._cold_until = float("-inf")
        self._is_coldness_known = False
        self._blocked_until = float("-inf")
        self._departed_ids: set[str] = set()
        self._has_departed = False
        self.status: upstream_status.UpstreamStatus | None = None

    def announce(self, now: float, status: upstream_status.UpstreamStatus) -> Freshness:
        """Take an announcement."""
        freshness = self._compare(status)
        if freshness is Freshness.LATE:
            return freshness
        if freshness is Freshness.NEW_START:
            if self.status is not None:
                self._departed_ids.add(self.status.instance_id)
            self._has_departed = False
        self.status = status
        self._heard_at = now
        self._blocked_until = float("-inf")
        self._cold_until = now + status.cold_ms / 1000
        self._is_coldness_known = True
        return freshness

    def depart(self, instance_id: str) -> bool:
        """Take a sign-off; return whether it concerns the present start."""
        if self.status is None or self.status.instance_id != instance_id:
            return False
        self._has_departed = True
        return True

    def expect_cold(self) -> None:
        """Assume that the upstream is cold until its next announcement."""
        self._is_coldness_known = False

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold, or may be."""
        return not self._is_coldness_known or now < self._cold_until

    def note_silence(self, now: float) -> None:
        """Note that an opening packet was not answered."""
        self._blocked_until = now + RETRY_SECONDS

    def note_answer(self) -> None:
        """Note that the upstream has sent something."""
        self._blocked_until = float("-inf")

    def is_blocked(self, now: float) -> bool:
        """Return whether the upstream has just left an opening unanswered."""
        return now < self._blocked_until

    def is_accepting(self, now: float) -> bool:
        """Return whether the upstream is up and not leaving."""
        status = self.status
        if status is None or self._has_departed or status.is_draining:
            return False
        return now - self._heard_at < self._silent_seconds

    def _compare(self, status: upstream_status.UpstreamStatus) -> Freshness:
        known = self.status
        if known is None:
            return Freshness.NEW_START
        both_timed = status.started_ms is not None and known.started_ms is not None
        if both_timed and status.started_ms != known.started_ms:
            is_newer = (status.started_ms or 0) > (known.started_ms or 0)
            return Freshness.NEW_START if is_newer else Freshness.LATE
        if status.instance_id != known.instance_id:
            if status.instance_id in self._departed_ids:
                return Freshness.LATE
            return Freshness.NEW_START
        if status.sequence <= known.sequence:
            return Freshness.LATE
        return Freshness.SAME_START
