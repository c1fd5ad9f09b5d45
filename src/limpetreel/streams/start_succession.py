"""Evidence on which one start of an upstream replaces another."""

from __future__ import annotations

import enum
import typing
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import upstream_status

    Start = tuple[str, int | None]

OVERDUE_INTERVALS = 1.4
"""Announcement intervals after which the next announcement is overdue."""
SILENT_INTERVALS = 2.6
"""Announcement intervals without an announcement before the upstream counts as down."""
REPEATED_INTERVALS = 0.4
"""Announcement intervals between two announcements that show that their sender lives.
Announcements that a partition has delayed arrive together."""
MAX_RIVALS = 16
MAX_PAST_STARTS = 64


class Freshness(enum.Enum):
    """How an announcement relates to the previous ones.

    Only `SAME_START` and `NEW_START` are put into force.
    """

    LATE = "late"
    RIVAL = "rival"
    SAME_START = "same start"
    NEW_START = "new start"

    @property
    def is_in_force(self) -> bool:
        """Return whether the announcement describes the upstream."""
        return self in (Freshness.SAME_START, Freshness.NEW_START)


class _Claim(typing.NamedTuple):
    """First and last announcement of a start, and how many it has sent."""

    first_at: float
    last_at: float
    first: upstream_status.UpstreamStatus
    last: upstream_status.UpstreamStatus
    number: int = 1

    def followed_by(self, now: float, status: upstream_status.UpstreamStatus) -> _Claim:
        """Return the claim with one more announcement."""
        return _Claim(self.first_at, now, self.first, status, self.number + 1)


class StartSuccession:
    """Decides which start of the upstream the agent believes in.

    An announcement may be late, or come from another writer, whatever its fields say.
    The present start is therefore replaced only once it has signed off, has ended or
    has missed its own next announcement. Until then other starts are rivals, and each
    announcement of the present start dismisses them. A start that lives and was
    displaced takes its place back by the same rule.

    A rival that looks late has to announce itself twice: one that was replaced before,
    one whose sequence is behind, and one whose time of start is earlier. The last may
    also wait until the present start counts as down, since a clock may be set back.

    Parameters
    ----------
    interval_seconds : float
        Time between announcements.
    """

    def __init__(self, interval_seconds: float) -> None:
        self._overdue_seconds = interval_seconds * OVERDUE_INTERVALS
        self._silent_seconds = interval_seconds * SILENT_INTERVALS
        self._repeated_seconds = interval_seconds * REPEATED_INTERVALS
        self._rivals: dict[Start, _Claim] = {}
        self._past: dict[Start, None] = {}
        self._has_signed_off = False
        self._has_ended = False
        self._present: _Claim | None = None

    @property
    def status(self) -> upstream_status.UpstreamStatus | None:
        """Return the last announcement of the present start, None before the first."""
        return self._present.last if self._present is not None else None

    @property
    def first_heard(self) -> tuple[float, upstream_status.UpstreamStatus] | None:
        """Return the first announcement of the present start and its time in seconds.

        It is None before the first.
        """
        present = self._present
        return (present.first_at, present.first) if present is not None else None

    @property
    def has_departed(self) -> bool:
        """Return whether the present start has signed off or ended."""
        return self._has_signed_off or self._has_ended

    @property
    def has_ended(self) -> bool:
        """Return whether the process of the present start is known to have ended."""
        return self._has_ended

    def has_left(self, now: float) -> bool:
        """Return whether the present start has signed off and announces nothing since.

        A sign-off alone may be late or that of another writer; an upstream that lives
        takes it back with its next announcement.
        """
        return self._has_signed_off and self.is_overdue(now)

    def is_overdue(self, now: float) -> bool:
        """Return whether the present start has missed its next announcement."""
        return self._is_silent_for(now, self._overdue_seconds)

    def is_silent(self, now: float) -> bool:
        """Return whether the present start counts as down."""
        return self._is_silent_for(now, self._silent_seconds)

    def cold_until(self) -> float:
        """Return until when one of the starts that may be the present one is cold."""
        claims = [r for r in self._rivals.values() if not self._looks_late(r)]
        if self._present is not None:
            claims.append(self._present)
        ends = (c.last_at + c.last.cold_ms / 1000 for c in claims)
        return max(ends, default=float("-inf"))

    def record(self, now: float, status: upstream_status.UpstreamStatus) -> Freshness:
        """Record an announcement and return how it relates to the previous ones."""
        present = self._present
        if present is None:
            return self._install(_Claim(now, now, status, status))
        is_same = _start(status) == _start(present.last)
        if is_same and status.sequence > present.last.sequence:
            self._present = present.followed_by(now, status)
            # A sign-off that came before was late: it was that of an earlier start.
            self._has_signed_off = self._has_ended = False
            self._rivals.clear()
            return Freshness.SAME_START
        return self._record_rival(now, status)

    def is_in_force(self, status: upstream_status.UpstreamStatus) -> bool:
        """Return whether an announcement is the last one of the present start."""
        return self._present is not None and self._present.last == status

    def is_unused(self, instance_id: str) -> bool:
        """Return whether no new flow goes to a start that has signed off.

        Another start at the same address may be the present one although this one
        lives, unless this one is known to have been replaced.
        """
        present = self._present
        if present is None:
            return True
        if present.last.instance_id == instance_id:
            return self.has_departed
        return any(i == instance_id for i, _ in self._past)

    def record_sign_off(self, instance_id: str) -> bool:
        """Record a sign-off; return whether it is that of the present start."""
        present = self._present
        if present is None or present.last.instance_id != instance_id:
            return False
        self._has_signed_off = True
        return True

    def record_end(self, instance_id: str) -> bool:
        """Record the end of a process; return whether it was the present start."""
        if self._present is None or self._present.last.instance_id != instance_id:
            return False
        self._has_ended = True
        return True

    def _record_rival(
        self, now: float, status: upstream_status.UpstreamStatus
    ) -> Freshness:
        start = _start(status)
        rival = self._rivals.get(start)
        if rival is None:
            rival = _Claim(now, now, status, status)
        elif status.sequence > rival.last.sequence:
            rival = rival.followed_by(now, status)
        elif status.sequence < rival.last.sequence:
            return Freshness.LATE
        self._rivals[start] = rival
        if len(self._rivals) > MAX_RIVALS:
            self._forget_rival()
        if self._may_replace(now, rival):
            return self._install(rival)
        if self._looks_late(rival):
            return Freshness.LATE
        return Freshness.RIVAL

    def _may_replace(self, now: float, rival: _Claim) -> bool:
        if not self.has_departed and not self.is_overdue(now):
            return False
        if self._looks_late(rival) and not self._is_repeated(rival):
            may_be_set_back = self._is_earlier(rival) and not self._is_past(rival)
            if not (may_be_set_back and self.is_silent(now)):
                return False
        # Another writer may use a new name for each announcement.
        return all(
            r.number <= rival.number
            for r in self._rivals.values()
            if now - r.last_at <= self._overdue_seconds
        )

    def _install(self, claim: _Claim) -> Freshness:
        previous = self._present
        start = _start(claim.last)
        is_same = previous is not None and _start(previous.last) == start
        if previous is not None and not is_same:
            self._past[_start(previous.last)] = None
            if len(self._past) > MAX_PAST_STARTS:
                del self._past[next(iter(self._past))]
        self._past.pop(start, None)
        self._rivals.clear()
        self._has_signed_off = self._has_ended = False
        self._present = claim
        if is_same:
            return Freshness.SAME_START
        return Freshness.NEW_START

    def _looks_late(self, rival: _Claim) -> bool:
        assert self._present is not None
        is_behind = _start(rival.last) == _start(self._present.last)
        return is_behind or self._is_past(rival) or self._is_earlier(rival)

    def _is_past(self, rival: _Claim) -> bool:
        return _start(rival.last) in self._past

    def _is_earlier(self, rival: _Claim) -> bool:
        assert self._present is not None
        began, present_began = rival.last.started_ms, self._present.last.started_ms
        if began is None or present_began is None:
            return False
        return began < present_began

    def _is_repeated(self, rival: _Claim) -> bool:
        return rival.last_at - rival.first_at >= self._repeated_seconds

    def _is_silent_for(self, now: float, seconds: float) -> bool:
        if self._present is None:
            return False
        return now - self._present.last_at > seconds

    def _forget_rival(self) -> None:
        """Forget the rival with the fewest announcements, the earliest of these."""
        rivals = self._rivals
        del rivals[min(rivals, key=lambda s: (rivals[s].number, rivals[s].last_at))]


def _start(status: upstream_status.UpstreamStatus) -> Start:
    return status.instance_id, status.started_ms
