"""State of an upstream as its agent observes it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import start_succession

if TYPE_CHECKING:
    from limpetreel.streams import upstream_status

RETRY_SECONDS = 0.5
"""Time after an unanswered opening packet during which no other one is sent."""
FIRST_BREAK_PAUSE_SECONDS = 2.0
"""Time after a break in which the upstream is taken for unstable. It doubles with each
break that follows soon, up to the maximum."""
MAX_BREAK_PAUSE_SECONDS = 16.0
SAME_BREAK_SECONDS = 0.5
"""Time within which breaks have one cause: a crash breaks off many requests."""


class UpstreamState:
    """State of the upstream, derived from its announcements and answers.

    Parameters
    ----------
    interval_seconds : float
        Time between announcements.
    """

    def __init__(self, interval_seconds: float) -> None:
        self._succession = start_succession.StartSuccession(interval_seconds)
        self._is_cold_time_known = False
        self._blocked_until = float("-inf")
        self._broke_at = float("-inf")
        self._break_pause = FIRST_BREAK_PAUSE_SECONDS

    @property
    def status(self) -> upstream_status.UpstreamStatus | None:
        """Return the last announcement of the present start, None before the first."""
        return self._succession.status

    @property
    def first_heard(self) -> tuple[float, upstream_status.UpstreamStatus] | None:
        """Return the first announcement of the present start; see `StartSuccession`."""
        return self._succession.first_heard

    def record_announcement(
        self, now: float, status: upstream_status.UpstreamStatus
    ) -> start_succession.Freshness:
        """Apply an announcement and return how it relates to the previous ones."""
        result = self._succession.record(now, status)
        if result.is_in_force:
            self._blocked_until = float("-inf")
            self._is_cold_time_known = True
        return result

    def is_in_force(self, status: upstream_status.UpstreamStatus) -> bool:
        """Return whether an announcement is the last one of the present start."""
        return self._succession.is_in_force(status)

    def is_unused(self, instance_id: str) -> bool:
        """Return whether no new flow goes to a start that has signed off."""
        return self._succession.is_unused(instance_id)

    def record_sign_off(self, instance_id: str) -> bool:
        """Record a sign-off; return whether it is that of the present start."""
        return self._succession.record_sign_off(instance_id)

    @property
    def has_departed(self) -> bool:
        """Return whether the present start of the upstream has signed off or ended."""
        return self._succession.has_departed

    @property
    def has_ended(self) -> bool:
        """Return whether the process of the present start is known to have ended."""
        return self._succession.has_ended

    def has_left(self, now: float) -> bool:
        """Return whether the present start has left; see `StartSuccession.has_left`."""
        return self._succession.has_left(now)

    def record_end(self, instance_id: str) -> bool:
        """Record the end of a process; return whether it was the present start."""
        return self._succession.record_end(instance_id)

    def expect_cold(self) -> None:
        """Treat the upstream as cold until its next announcement."""
        self._is_cold_time_known = False

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold, or may be."""
        return not self._is_cold_time_known or now < self._succession.cold_until()

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
        return not self.has_departed and self._succession.is_overdue(now)

    def is_accepting(self, now: float) -> bool:
        """Return whether the upstream is up and accepts new flows."""
        status = self.status
        if status is None or self.has_departed or status.is_draining:
            return False
        return not self._succession.is_silent(now)
