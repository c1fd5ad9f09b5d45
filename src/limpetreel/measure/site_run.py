"""Run of the simulated site under load."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from limpetreel.agent import agent_core
from limpetreel.agent.events import drain_requested
from limpetreel.entry import entry_core
from limpetreel.measure import fake_site, load_run

if TYPE_CHECKING:
    from limpetreel.measure import deployment, fake_node, site_plan

CAPACITY = 1000
POLL_SECONDS = 0.01


class SiteRun(load_run.LoadRun):
    """Runs the cores of one deployment under load.

    Parameters
    ----------
    spec : Deployment
        Simulated deployment.
    plan : SitePlan
        Planned events.
    seed : int
        Seed of the run.
    """

    def __init__(
        self, spec: deployment.Deployment, plan: site_plan.SitePlan, seed: int
    ) -> None:
        zones = tuple(f"zone-{i}" for i in range(spec.zones))
        one_way_s = load_run.ONE_WAY_SECONDS[spec.zones]
        self.site = fake_site.FakeSite(zones, one_way_s, seed, load_run.LOSS)
        super().__init__(spec, plan, seed, self.site)
        self.in_force_s: list[float] = []

    def _start(self) -> None:
        site = self.site
        site.queue.run_until(1.0)
        for zone in site.zones:
            site.change("zone_create", zone, region="local")
        for i in range(len(self.spec.class_sizes)):
            targets = {"capacity": CAPACITY, "answer_ms": load_run.ANSWER_MS}
            site.change("class_create", self._class_name(i), **targets)
        site.queue.run_until(1.5)
        for zone in site.zones:
            site.start_entry(f"entry-{zone}", zone)
        for i, profile in enumerate(self.profiles):
            name = f"upstream-{i}"
            site.start_upstream(name, profile)
            class_name = self._class_name(self.spec.class_of(i))
            site.start_agent(class_name, name, self._zone(name))
        site.queue.run_until(load_run.READY_SECONDS)

    def _plan_changes(self, begin: float) -> None:
        queue, plan = self.site.queue, self.plan
        restart_entry = self.site.restart_entry
        if not plan.has_graceful_restarts:
            restart_entry = self.site.start_entry
        for i, name in enumerate(list(self.site.entries)):
            restart = functools.partial(restart_entry, name, self._zone(name))
            queue.at(begin + plan.entries_restart_at + i, restart)
        for i in range(plan.changes):
            change = functools.partial(self._change, i)
            queue.at(begin + plan.changes_at + i / 10, change)

    def _zone_out(self) -> None:
        call = self.site.change("zone_out", self.removed_zone)
        self._await_answer(call, is_zone_out=True)

    def _zone_in(self) -> None:
        self._await_answer(self.site.change("zone_in", self.removed_zone))

    def _change(self, number: int) -> None:
        """Change the targets of a class, which creates a new table revision."""
        name = self._class_name(number % len(self.spec.class_sizes))
        targets = {
            "capacity": CAPACITY + number,
            "answer_ms": load_run.ANSWER_MS,
            "zones": [],
        }
        self._await_answer(self.site.change("class_set", name, **targets))

    def _restart_upstream(self) -> None:
        self.site.restart_upstream(self.restarted_upstream, self._class_name(0))

    def _drain(self) -> None:
        """Let the first upstream leave gracefully."""
        self.site.agents["upstream-0"].handle(drain_requested.DrainRequested())

    def _await_answer(self, call: int, is_zone_out: bool = False) -> None:
        answer = self.site.answers.get(call)
        if answer is None:
            poll = functools.partial(self._await_answer, call, is_zone_out)
            self.site.queue.after(POLL_SECONDS, poll)
            return
        at, body = answer
        if body.get("status") != "applied":
            raise RuntimeError(f"command {call} was not applied: {body}")
        if is_zone_out:
            self.zone_out_accepted_at = at
        revision = body["revision"]
        assert isinstance(revision, int)
        self._await_confirmation(at, revision)

    def _await_confirmation(self, accepted_at: float, revision: int) -> None:
        nodes = [*self.site.entries.values(), *self.site.agents.values()]
        if all(_revision(n) >= revision for n in nodes if n.is_up):
            self.in_force_s.append(self.site.queue.now - accepted_at)
            return
        poll = functools.partial(self._await_confirmation, accepted_at, revision)
        self.site.queue.after(POLL_SECONDS, poll)

    def _class_name(self, class_id: int) -> str:
        return f"class-{class_id}"


def _revision(node: fake_node.FakeNode) -> int:
    node_core = node.core
    assert isinstance(node_core, agent_core.AgentCore | entry_core.EntryCore)
    return node_core.link.table.revision
