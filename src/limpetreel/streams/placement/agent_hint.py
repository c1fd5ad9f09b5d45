"""Last known load and reachability of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.placement import upstream_health

if TYPE_CHECKING:
    from limpetreel.cluster import upstream_record
    from limpetreel.streams.messages import verdict
    from limpetreel.streams.placement import service_means

LOAD_MAX_AGE_SECONDS = 0.25
"""Time after which a reported wait is obsolete; a few service times."""
FLOWS_MAX_AGE_SECONDS = 8.0
"""Time after which reported flows and utilisation are obsolete. Long flows stay for
seconds, and an entry hears from each of 50 agents every few seconds only."""
MAX_UTILISATION = 0.95
"""Utilisation above which the expected wait grows no faster."""
INITIAL_PAUSE_SECONDS = 1.0
"""First pause after an offer without an answer; doubles up to the maximum."""
MAX_PAUSE_SECONDS = 4.0
INITIAL_SERVICE_SECONDS = 0.05
"""Assumed service time until the agent has reported one."""
MIN_SERVICE_SHARE = 0.4
"""Least part of the median service time that counts. An upstream that sheds requests
answers them at once, and must not get all flows for that."""


class AgentHint:
    """Load and reachability of one agent as one entry sees them.

    Its attribute `extra_cost` holds the seconds of wait at another agent that are as
    bad as the location of this one, `is_open` whether it may get offers according to
    control, and `open_offers` the offers of this entry that it has not answered.
    Before `suspended_until`, a time in seconds, it gets offers only if no other agent
    may; before `unresponsive_until`, only those that no other takes at once. `flows`
    and `utilisation` (of 1) are as the agent reported them last. `slots` and `weight`
    are the requests that the upstream processes concurrently, and those that it can
    answer per second.

    Parameters
    ----------
    record : UpstreamRecord
        Record from control.
    """

    __slots__ = (
        "_avoid_until",
        "_busy_until",
        "_closed_until",
        "_closed_wait",
        "_load",
        "_pause",
        "_reported_at",
        "_wait_seconds",
        "extra_cost",
        "flows",
        "health",
        "is_open",
        "open_offers",
        "record",
        "service_seconds",
        "slots",
        "suspended_until",
        "unresponsive_until",
        "utilisation",
        "weight",
    )

    def __init__(self, record: upstream_record.UpstreamRecord) -> None:
        self.extra_cost = 0.0
        self.is_open = True
        self.open_offers = 0
        self.service_seconds = INITIAL_SERVICE_SECONDS
        self.apply(record)
        self.health = upstream_health.UpstreamHealth()
        self.flows = 0
        self.utilisation = 0.0
        self._reported_at = float("-inf")
        self._wait_seconds = 0.0
        self._load = 0.0
        self._busy_until = float("-inf")
        self._closed_until = float("-inf")
        self._closed_wait = 0.0
        self._avoid_until = float("-inf")
        self._pause = INITIAL_PAUSE_SECONDS
        self.suspended_until = float("-inf")
        self.unresponsive_until = float("-inf")

    def apply(self, record: upstream_record.UpstreamRecord) -> None:
        """Apply a record from control."""
        self.record = record
        self.slots = max(1, record.slots)
        self.set_service_seconds(self.service_seconds)

    def set_service_seconds(self, seconds: float) -> None:
        """Set the time from a request to the start of its answer."""
        self.service_seconds = seconds
        self.weight = self.slots / seconds

    def record_load(
        self, now: float, message: verdict.Verdict, means: service_means.ServiceMeans
    ) -> None:
        """Record the load that the agent reported, and add it to the means."""
        self._reported_at = now
        self._wait_seconds = message.wait_ms / 1000
        self._load = message.load / 100
        self.flows = message.flows
        self.utilisation = message.utilisation / 100
        self._busy_until = float("-inf")
        self._pause = INITIAL_PAUSE_SECONDS
        if message.service_ms:
            seconds = message.service_ms / 1000
            least = MIN_SERVICE_SHARE * means.median_service_seconds
            is_known = least < float("inf")
            self.set_service_seconds(max(least, seconds) if is_known else seconds)
        means.record(message)

    def record_busy(self, now: float) -> None:
        """Record that no slot is free before the reported wait has passed."""
        seconds = max(self._wait_seconds, self.service_seconds / self.slots)
        self._busy_until = now + min(LOAD_MAX_AGE_SECONDS, seconds)

    def record_closed_queue(self, now: float, max_wait: float) -> None:
        """Record that a flow may not wait here.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        max_wait : float
            Latency target of the flow. One with a longer target may still be admitted.
        """
        # The queue moves when a slot becomes free.
        seconds = min(LOAD_MAX_AGE_SECONDS, self.service_seconds / self.slots)
        self._closed_until = now + seconds
        self._closed_wait = max_wait

    def avoid(self, now: float, seconds: float) -> None:
        """Exclude the agent from offers for some time."""
        self._avoid_until = now + seconds

    def record_timeout(self, now: float) -> None:
        """Record that the agent did not answer."""
        self.avoid(now, self._pause)
        self._pause = min(MAX_PAUSE_SECONDS, 2 * self._pause)

    def is_usable(self, now: float) -> bool:
        """Return whether the agent may get offers."""
        until = max(self.suspended_until, self.unresponsive_until)
        return self.is_reachable(now) and now >= until

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the agent may get flows that no usable one takes at once."""
        is_suspended = now < self.suspended_until
        is_due = now < self.unresponsive_until and not is_suspended
        return is_due and self.is_reachable(now)

    def is_reachable(self, now: float) -> bool:
        """Return whether the agent may get offers if no other agent may."""
        return self.is_open and now >= self._avoid_until

    def is_busy(self, now: float) -> bool:
        """Return whether the agent recently answered that no slot is free."""
        return now < self._busy_until

    def has_closed_queue(self, now: float, max_wait: float) -> bool:
        """Return whether the agent recently refused a flow that could wait as long."""
        return now < self._closed_until and max_wait <= self._closed_wait

    def has_flow_report(self, now: float) -> bool:
        """Return whether flows and utilisation have been reported recently."""
        return now - self._reported_at < FLOWS_MAX_AGE_SECONDS

    def wait(self, now: float, means: service_means.ServiceMeans) -> float:
        """Return the expected wait for a slot in seconds.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        means : ServiceMeans
            What is assumed as the report grows old.
        """
        age = now - self._reported_at
        if age >= LOAD_MAX_AGE_SECONDS:
            return means.wait_seconds
        return max(0.0, self._wait_seconds - age)

    def short_cost(self, now: float, means: service_means.ServiceMeans) -> float:
        """Return the expected wait in seconds of the request of a flow offered now.

        Parameters
        ----------
        now, means
            As in `wait`.
        """
        age = now - self._reported_at
        # The draw already prefers fast upstreams, so without a report all are equal.
        wait = means.load * means.service_seconds
        if age < LOAD_MAX_AGE_SECONDS:
            freshness = 1.0 - age / LOAD_MAX_AGE_SECONDS
            reported = self._wait_seconds + self._load * self.service_seconds
            wait += freshness * (reported - wait)
        return wait + self.open_offers / self.weight + self.extra_cost

    def long_cost(self, now: float, means: service_means.ServiceMeans) -> float:
        """Return the expected wait in seconds of the requests of a long flow.

        Parameters
        ----------
        now, means
            As in `wait`.
        """
        age = now - self._reported_at
        freshness = max(0.0, 1.0 - age / FLOWS_MAX_AGE_SECONDS)
        # Utilisation follows new flows by some seconds, their number does not.
        by_flows = self._flows_per_weight(freshness, means) * means.demand
        reported = means.utilisation + freshness * (
            self.utilisation - means.utilisation
        )
        with_flow = reported + means.demand / self.weight
        expected = max(by_flows, with_flow)
        wait = expected / (1.0 - min(MAX_UTILISATION, expected))
        return means.service_seconds * wait + self.extra_cost

    def flow_share(self, now: float, means: service_means.ServiceMeans) -> float:
        """Return the open flows with one more, relative to the mean of the service."""
        age = now - self._reported_at
        freshness = max(0.0, 1.0 - age / FLOWS_MAX_AGE_SECONDS)
        mean = means.flows_per_weight + 1.0 / self.weight
        return self._flows_per_weight(freshness, means) / mean

    def _flows_per_weight(
        self, freshness: float, means: service_means.ServiceMeans
    ) -> float:
        """Return the open flows with one more over the requests per second."""
        mean = means.flows_per_weight
        reported = mean + freshness * (self.flows / self.weight - mean)
        return reported + (self.open_offers + 1) / self.weight
