"""Last known load and reachability of an agent."""

from __future__ import annotations

LOAD_MAX_AGE_SECONDS = 0.25
"""Time after which a reported load is obsolete; a few service times."""
INITIAL_PAUSE_SECONDS = 1.0
"""First pause after an offer without an answer; doubles up to the maximum."""
MAX_PAUSE_SECONDS = 4.0


class AgentHint:
    """Load and reachability of one agent as one entry sees them."""

    __slots__ = (
        "_avoid_until",
        "_load",
        "_pause",
        "_reported_at",
        "_service_seconds",
        "_starting_until",
        "_wait_seconds",
    )

    def __init__(self) -> None:
        self._reported_at = float("-inf")
        self._wait_seconds = 0.0
        self._service_seconds = 0.0
        self._load = 0.0
        self._avoid_until = float("-inf")
        self._pause = INITIAL_PAUSE_SECONDS
        self._starting_until = float("-inf")

    def record_load(self, now: float, wait: float, service: float, load: float) -> None:
        """Record the load that the agent reported."""
        self._reported_at = now
        self._wait_seconds = wait
        self._service_seconds = service
        self._load = load
        self._pause = INITIAL_PAUSE_SECONDS

    def avoid(self, now: float, seconds: float) -> None:
        """Exclude the agent from offers for some time."""
        self._avoid_until = now + seconds

    def record_starting(self, now: float, seconds: float) -> None:
        """Record that the agent still awaits an announcement of its upstream."""
        self.avoid(now, seconds)
        # It gets an offer after the pause, and counts as starting until it answers.
        self._starting_until = now + 2 * seconds

    def is_starting(self, now: float) -> bool:
        """Return whether the agent recently answered that it is starting."""
        return now < self._starting_until

    def record_timeout(self, now: float) -> None:
        """Record that the agent did not answer."""
        self.avoid(now, self._pause)
        self._pause = min(MAX_PAUSE_SECONDS, 2 * self._pause)

    def is_avoided(self, now: float) -> bool:
        """Return whether the agent is excluded from offers."""
        return now < self._avoid_until

    def cost(self, now: float) -> float:
        """Return the expected wait and extra service time in seconds."""
        freshness = max(0.0, 1.0 - (now - self._reported_at) / LOAD_MAX_AGE_SECONDS)
        return self._service_seconds + freshness * (
            self._wait_seconds + self._load * self._service_seconds
        )
