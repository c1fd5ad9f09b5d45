"""Order of the starts of an upstream and of the agent beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import upstream_status
    from limpetreel.streams.ownership import process_start


class UpstreamStart:
    """Tells whether the upstream has started after the agent's process was created.

    All its flows have then passed this process. Three values say when it started: the
    time in its announcement, the number of announcements, and the time for which it
    stays cold. Each alone can mislead: the clock may be set back, announcements may be
    late, and an upstream may be cold again without a restart. An upstream that started
    together with the process counts as earlier, however short the time between them:
    an earlier process may have placed a flow on it.

    Parameters
    ----------
    process : ProcessStart or None
        Time at which the agent's process existed, None if it is not known.
    interval_seconds : float
        Time between announcements.
    """

    def __init__(
        self, process: process_start.ProcessStart | None, interval_seconds: float
    ) -> None:
        self._process = process
        self._interval_seconds = interval_seconds
        self._heard_at = 0.0
        self._status: upstream_status.UpstreamStatus | None = None

    def record(self, heard_at: float, status: upstream_status.UpstreamStatus) -> None:
        """Record the first announcement of the present start.

        It says most about the time of the start.
        """
        self._heard_at = heard_at
        self._status = status

    def describe(self) -> dict[str, int]:
        """Return the values that are compared, for the log."""
        process, status = self._process, self._status
        if process is None or status is None or status.started_ms is None:
            return {}
        return {
            "sequence": status.sequence,
            "cold_ms": status.cold_ms,
            "started_after_ms": int(status.started_ms - process.unix_ms),
            "process_age_ms": int((self._heard_at - process.at) * 1000),
        }

    def is_later(self, cold_seconds: float) -> bool:
        """Return whether the upstream certainly started after the process was created.

        Parameters
        ----------
        cold_seconds : float
            Time after a start during which the upstream is cold, 0 if it is not known.
        """
        process, status = self._process, self._status
        if process is None or status is None or status.started_ms is None:
            return False
        left = status.cold_ms / 1000
        if not 0 < left <= cold_seconds:
            return False
        age = self._heard_at - process.at
        is_cold_for_less = cold_seconds - left <= age
        has_announced_for_less = (status.sequence - 1) * self._interval_seconds <= age
        started = (status.started_ms - process.unix_ms) / 1000
        # A start in the future shows that the clock was set back after it.
        is_started_within = 0 <= started <= age
        return is_started_within and is_cold_for_less and has_announced_for_less
