"""One run of a whole site under load, with planned changes and loss."""

from __future__ import annotations

import functools
import itertools
from typing import TYPE_CHECKING

from limpetreel.agent import agent_core
from limpetreel.agent.events import drain_requested
from limpetreel.entry import entry_core
from limpetreel.measure import fake_site
from limpetreel.requests import outcome as outcomes

if TYPE_CHECKING:
    from limpetreel.measure import deployment, fake_caller, fake_node, site_plan

READY_SECONDS = 9.0
"""Time for elections, joins and the first slow start."""
SETTLE_SECONDS = 25.0
"""Time after the load for the last retransmissions."""
ANSWER_MS = 2000
CAPACITY = 1000
POST_RATIO = 0.3
BUSY_PART = 0.1
BUSY_REQUESTS = 0.5
ONE_WAY_SECONDS = {3: 0.0015, 4: 0.001}
"""Latency between data centres by their number, as in the two deployments."""
LOSS = 0.001
CONFIRM_SECONDS = 0.01


class SiteRun:
    """Drives one deployment and keeps what the figures need.

    Parameters
    ----------
    size : Deployment
        The deployment.
    plan : SitePlan
        What happens.
    seed : int
        Seed of the run.
    """

    def __init__(
        self, size: deployment.Deployment, plan: site_plan.SitePlan, seed: int
    ) -> None:
        self.size = size
        self.plan = plan
        zones = tuple(f"zone-{i}" for i in range(size.zones))
        one_way_s = ONE_WAY_SECONDS[size.zones]
        self.site = fake_site.FakeSite(zones, one_way_s, seed, LOSS)
        self.profiles = size.profiles(seed)
        self.removed_zone = zones[-1]
        self.drained = ""
        self.accepted_at: dict[int, float] = {}
        self.in_force_s: list[float] = []
        self.last_packet_s = 0.0
        self._zone_out_call = 0

    def run(self) -> None:
        """Run the plan."""
        self._start()
        queue, plan = self.site.queue, self.plan
        begin = queue.now
        self._load(begin)
        queue.at(begin + plan.zone_out_at, self._zone_out)
        queue.at(begin + plan.zone_in_at - 0.1, self._note_last_packet)
        queue.at(begin + plan.zone_in_at, self._zone_in)
        restart_entry = self.site.restart_entry
        if not plan.has_graceful_restarts:
            restart_entry = self.site.start_entry
        for i, name in enumerate(list(self.site.entries)):
            restart = functools.partial(restart_entry, name, self._zone(name))
            queue.at(begin + plan.entries_restart_at + i, restart)
        queue.at(begin + plan.drain_at, self._drain)
        for i in range(plan.changes):
            change = functools.partial(self._change, i)
            queue.at(begin + plan.changes_at + i / 10, change)
        queue.run_until(begin + plan.end + SETTLE_SECONDS)

    def replies(self) -> list[fake_caller.FakeReply]:
        """Return all requests."""
        return [r for c in self.site.callers.values() for r in c.replies]

    def broken_flows(self) -> int:
        """Count flows whose upstream changed although it was not taken away."""
        broken = 0
        for caller in self.site.callers.values():
            served = [r.upstream for r in caller.replies if r.upstream]
            pairs = itertools.pairwise(served)
            broken += any(
                old != new and self._zone(old) != self.removed_zone
                for old, new in pairs
            )
        return broken

    def false_not_run(self) -> int:
        """Count requests that ran although their caller was told otherwise."""
        runs = self._runs()
        refused = outcomes.Outcome.NOT_RUN
        return sum(refused in r.told and runs.get(r.key, 0) > 0 for r in self.replies())

    def second_runs(self) -> int:
        """Count non-idempotent requests that ran more than once."""
        runs = self._runs()
        return sum(runs.get(r.key, 0) > 1 for r in self.replies() if not r.idempotent)

    def foreign_answers(self) -> int:
        """Count answers that reached another request."""
        return sum(r.is_foreign for r in self.replies())

    def in_time_ratio(
        self, start: float, end: float, with_returns: bool = False
    ) -> float:
        """Return the part of the requests of a period answered in time.

        Parameters
        ----------
        start, end : float
            Period in seconds after the load has begun.
        with_returns : bool
            Whether a refused request also counts if it was answered in time when
            its caller came back.
        """
        begin = READY_SECONDS
        chosen = [
            r
            for r in self.replies()
            if start <= r.sent_at - begin < end and not r.returns
        ]
        good = 0
        for reply in chosen:
            found: fake_caller.FakeReply | None = reply
            while found is not None and not _is_in_time(found):
                found = found.later if with_returns else None
            good += found is not None
        return good / max(1, len(chosen))

    def extra_hops(self) -> float:
        """Return relays between agents over packets of callers."""
        return self.site.relays() / max(1, self.site.packets)

    def _runs(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for upstream in self.site.upstreams.values():
            for key, count in upstream.runs.items():
                total[key] = total.get(key, 0) + count
        return total

    def _start(self) -> None:
        site = self.site
        site.queue.run_until(1.0)
        for zone in site.zones:
            site.change("zone_create", zone, region="local")
        for i in range(len(self.size.class_sizes)):
            targets = {"capacity": CAPACITY, "answer_ms": ANSWER_MS}
            site.change("class_create", self._class_name(i), **targets)
        site.queue.run_until(1.5)
        for zone in site.zones:
            site.start_entry(f"entry-{zone}", zone)
        for i, profile in enumerate(self.profiles):
            zone = site.zones[i % len(site.zones)]
            name = f"upstream-{i}"
            site.start_upstream(name, profile)
            site.start_agent(self._class_name(self.size.class_of(i)), name, zone)
        site.queue.run_until(READY_SECONDS)

    def _load(self, begin: float) -> None:
        """Schedule the requests of all connections.

        Each connection sends at least one request; a tenth of the connections sends
        half of all requests.
        """
        site, rng = self.site, self.site.rng
        for class_id, count in enumerate(self.size.class_sizes):
            members = [
                p
                for i, p in enumerate(self.profiles)
                if self.size.class_of(i) == class_id
            ]
            rate = self.plan.load * sum(p.slots / p.service_seconds for p in members)
            callers = [
                site.add_caller(class_id + 1)
                for _ in range(count * self.plan.connections_each)
            ]
            busy = max(1, int(len(callers) * BUSY_PART))
            total = int(rate * self.plan.end)
            for i in range(total):
                if rng.random() < BUSY_REQUESTS:
                    chosen = callers[rng.randrange(busy)]
                else:
                    chosen = callers[i % len(callers)]
                idempotent = rng.random() >= POST_RATIO
                request = functools.partial(chosen.request, idempotent)
                site.queue.at(begin + rng.uniform(0, self.plan.end), request)

    def _zone_out(self) -> None:
        call = self.site.change("zone_out", self.removed_zone)
        self._zone_out_call = call
        self._await_answer(call)

    def _zone_in(self) -> None:
        self._await_answer(self.site.change("zone_in", self.removed_zone))

    def _change(self, number: int) -> None:
        """Change the targets of a class, which gives a new table."""
        name = self._class_name(number % len(self.size.class_sizes))
        targets = {"capacity": CAPACITY + number, "answer_ms": ANSWER_MS, "zones": []}
        self._await_answer(self.site.change("class_set", name, **targets))

    def _drain(self) -> None:
        """Let the first upstream leave gracefully."""
        self.drained = "upstream-0"
        self.site.agents[self.drained].handle(drain_requested.DrainRequested())

    def _await_answer(self, call: int) -> None:
        found = self.site.answers.get(call)
        if found is None:
            again = functools.partial(self._await_answer, call)
            self.site.queue.after(CONFIRM_SECONDS, again)
            return
        at, body = found
        if body.get("status") != "applied":
            raise RuntimeError(f"command {call} was not applied: {body}")
        self.accepted_at[call] = at
        revision = body["revision"]
        assert isinstance(revision, int)
        self._await_confirmation(at, revision)

    def _await_confirmation(self, accepted_at: float, revision: int) -> None:
        nodes = [*self.site.entries.values(), *self.site.agents.values()]
        if all(_revision(n) >= revision for n in nodes if n.is_up):
            self.in_force_s.append(self.site.queue.now - accepted_at)
            return
        again = functools.partial(self._await_confirmation, accepted_at, revision)
        self.site.queue.after(CONFIRM_SECONDS, again)

    def _note_last_packet(self) -> None:
        """Note when the removed zone received its last packet."""
        accepted_at = self.accepted_at[self._zone_out_call]
        last = max(
            u.last_packet_at
            for n, u in self.site.upstreams.items()
            if self._zone(n) == self.removed_zone
        )
        self.last_packet_s = max(0.0, last - accepted_at)

    def _class_name(self, class_id: int) -> str:
        return f"class-{class_id}"

    def _zone(self, name: str) -> str:
        node = self.site.agents.get(name) or self.site.entries[name]
        return node.zone


def _is_in_time(reply: fake_caller.FakeReply) -> bool:
    is_answered = reply.told[:1] == [outcomes.Outcome.ANSWERED]
    return is_answered and reply.answered_at - reply.sent_at <= ANSWER_MS / 1000


def _revision(node: fake_node.FakeNode) -> int:
    decisions = node.core
    assert isinstance(decisions, agent_core.AgentCore | entry_core.EntryCore)
    return decisions.link.table.revision
