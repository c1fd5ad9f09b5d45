"""Run of the baseline site under load."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from limpetreel.measure import fake_site, hash_site, load_run

if TYPE_CHECKING:
    from limpetreel.measure import deployment, fake_upstream, site_plan


class HashRun(load_run.LoadRun):
    """Runs the baseline with the same callers, upstreams and faults.

    Parameters
    ----------
    spec : Deployment
        Simulated deployment.
    plan : SitePlan
        Planned events; restarts of entries and changes of classes have no effect.
    seed : int
        Seed of the run.
    """

    def __init__(
        self, spec: deployment.Deployment, plan: site_plan.SitePlan, seed: int
    ) -> None:
        one_way_s = load_run.ONE_WAY_SECONDS[spec.zones]
        self.site = hash_site.HashSite(one_way_s, seed, load_run.LOSS)
        super().__init__(spec, plan, seed, self.site)
        self._drained: set[str] = set()

    def _start(self) -> None:
        for i, profile in enumerate(self.profiles):
            name = f"upstream-{i}"
            class_id = self.spec.class_of(i) + 1
            self.site.start_upstream(name, profile, class_id, self._zone(name))
        self.site.publish()
        self.site.queue.run_until(load_run.READY_SECONDS)

    def _plan_changes(self, begin: float) -> None:
        """Do nothing: entries with a fixed list of members restart without a gap."""

    def _zone_out(self) -> None:
        self.zone_out_accepted_at = self.site.queue.now
        names = {n for n in self.site.upstreams if self._zone(n) == self.removed_zone}
        self.site.exclude_upstreams(names | self._drained)

    def _zone_in(self) -> None:
        self.site.exclude_upstreams(self._drained)

    def _restart_upstream(self) -> None:
        executor = self.site.upstreams[self.restarted_upstream].executor
        executor.stop()
        start = functools.partial(self._start_again, executor)
        self.site.queue.after(fake_site.RESTART_SECONDS, start)

    def _start_again(self, executor: fake_upstream.FakeUpstream) -> None:
        executor.start(self.site.queue.now)

    def _drain(self) -> None:
        self._drained = {"upstream-0"}
        self.site.exclude_upstreams(self._drained)
