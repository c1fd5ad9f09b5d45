"""State of an upstream as its agent observes it."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import upstream_status

MAX_MISSED_INTERVALS = 2.6
"""Announcement intervals without an announcement before the upstream counts as down."""
OVERDUE_INTERVALS = 1.4
"""Announcement intervals without an announcement before the agent asks the machine
whether the process of the upstream still listens."""
RETRY_SECONDS = 0.5
"""Time after an unanswered opening packet during which no other one is sent."""
FIRST_BREAK_PAUSE_SECONDS = 2.0
"""Time after a break in which the upstream is taken for unstable. It doubles with each
break that follows soon, up to the maximum."""
MAX_BREAK_PAUSE_SECONDS = 16.0
SAME_BREAK_SECONDS = 0.5
"""Time within which breaks have one cause: a crash breaks off many requests."""


class Freshness(enum.Enum):
    """How an announcement relates to the previous ones."""

    LATE = "late"
    SAME_START = "same start"
    NEW_START = "new start"


class UpstreamState:
    """State of the upstream, derived from its announcements and answers.

    Parameters
    ----------
    interval_seconds : float
        Time between announcements.
    """

    def __init__(self, interval_seconds: float) -> None:
        self._timeout_seconds = interval_seconds * MAX_MISSED_INTERVALS
        self._overdue_seconds = interval_seconds * OVERDUE_INTERVALS
        self._announced_at = float("-inf")
        self._cold_until = float("-inf")
        self._is_cold_time_known = False
        self._blocked_until = float("-inf")
        self._broke_at = float("-inf")
        self._break_pause = FIRST_BREAK_PAUSE_SECONDS
        self._departed_ids: set[str] = set()
        self._has_departed = False
        self.status: upstream_status.UpstreamStatus | None = None

    def record_announcement(
        self, now: float, status: upstream_status.UpstreamStatus
    ) -> Freshness:
        """Apply an announcement and return how it relates to the previous ones."""
        freshness = self._compare(now, status)
        if freshness is Freshness.LATE:
            return freshness
        if freshness is Freshness.SAME_START:
            # A sign-off that came before was late: it was that of an earlier start.
            self._has_departed = False
        if freshness is Freshness.NEW_START:
            if self.status is not None:
                self._departed_ids.add(self.status.instance_id)
            self._has_departed = False
        self.status = status
        self._announced_at = now
        self._blocked_until = float("-inf")
        self._cold_until = now + status.cold_ms / 1000
        self._is_cold_time_known = True
        return freshness

    def is_from_current_start(self, status: upstream_status.UpstreamStatus) -> bool:
        """Return whether an announcement names the start that is known."""
        current = self.status
        return current is not None and (
            (status.instance_id, status.started_ms)
            == (current.instance_id, current.started_ms)
        )

    def record_sign_off(self, instance_id: str) -> bool:
        """Record a sign-off; return whether it belongs to the current start."""
        if self.status is None or self.status.instance_id != instance_id:
            return False
        self._has_departed = True
        return True

    @property
    def has_departed(self) -> bool:
        """Return whether the current start of the upstream has signed off or ended."""
        return self._has_departed

    def record_end(self, instance_id: str) -> bool:
        """Record the end of a start; return whether it is the current one."""
        if self.status is None or self.status.instance_id != instance_id:
            return False
        self._has_departed = True
        self._departed_ids.add(instance_id)
        return True

    def expect_cold(self) -> None:
        """Treat the upstream as cold until its next announcement."""
        self._is_cold_time_known = False

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold, or may be."""
        return not self._is_cold_time_known or now < self._cold_until

    def record_timeout(self, now: float) -> None:
        """Record that an opening packet was not answered."""
        self._blocked_until = now + RETRY_SECONDS

    def record_answer(self) -> None:
        """Record that the upstream has sent a packet."""
        self._blocked_until = float("-inf")

    def is_blocked(self, now: float) -> bool:
        """Return whether the upstream recently left an opening packet unanswered."""
        return now < self._blocked_until

    def record_break(self, now: float) -> None:
        """Record a crash, a reset instead of a response or an unanswered opening."""
        since = now - self._broke_at
        if since >= 2 * self._break_pause:
            self._break_pause = FIRST_BREAK_PAUSE_SECONDS
        elif since >= SAME_BREAK_SECONDS:
            self._break_pause = min(MAX_BREAK_PAUSE_SECONDS, 2 * self._break_pause)
        self._broke_at = now

    def is_unstable(self, now: float) -> bool:
        """Return whether the upstream may break off requests as it did lately.

        Callers repeat idempotent requests, so these show whether it has recovered; one
        that may run once only would be lost.
        """
        return now - self._broke_at < self._break_pause

    def is_overdue(self, now: float) -> bool:
        """Return whether the upstream should have announced itself by now."""
        if self.status is None or self._has_departed:
            return False
        return now - self._announced_at > self._overdue_seconds

    def is_accepting(self, now: float) -> bool:
        """Return whether the upstream is up and accepts new flows."""
        status = self.status
        if status is None or self._has_departed or status.is_draining:
            return False
        return now - self._announced_at < self._timeout_seconds

    def _compare(self, now: float, status: upstream_status.UpstreamStatus) -> Freshness:
        current = self.status
        if current is None:
            return Freshness.NEW_START
        both_timed = status.started_ms is not None and current.started_ms is not None
        if both_timed and status.started_ms != current.started_ms:
            is_newer = (status.started_ms or 0) > (current.started_ms or 0)
            # The time of day may have been set back between two starts.
            is_silent = now - self._announced_at >= self._timeout_seconds
            was_replaced = (
                status.instance_id in self._departed_ids
                and status.instance_id != current.instance_id
            )
            may_follow = is_silent and not was_replaced
            return Freshness.NEW_START if is_newer or may_follow else Freshness.LATE
        if status.instance_id != current.instance_id:
            if status.instance_id in self._departed_ids:
                return Freshness.LATE
            return Freshness.NEW_START
        if status.sequence <= current.sequence:
            return Freshness.LATE
        return Freshness.SAME_START
