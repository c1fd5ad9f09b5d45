"""Planned work and faults, in series and overlapping, on a site with open flows."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
import time

from tests.soak.stand_in import deployment, load

HOST, PORT = "127.200.0.1", 443
SERVICE = "svc"
SLOW_START_SECONDS = (0.1, 5.0)
"""Time between the end of a process and its next start."""
COLD_SECONDS = 2.0
PLANNED = "agents", "control", "entry", "edge", "return", "zone", "release", "change"
FAULTS = "kill_agents", "kill_control", "kill_entry", "pause", "crash"
OTHERS = "cold", "late_announcement", "odd_announcement"
"""What other systems do at any time, without a fault of a machine."""


class FlowSoak:
    """One run.

    Parameters
    ----------
    folder : path
        Folder of the record.
    seed : int
        Seed of what happens when.
    agents : int
        Number of agents in each data centre.
    has_faults : bool
        Whether processes are also killed and paused.
    stdout : callable or None
        Returns the file for the output of a role of a machine.
    """

    def __init__(self, folder, seed, agents, has_faults=True, stdout=None):
        self.random = random.Random(seed)
        self.site = deployment.Site(
            folder,
            {SERVICE: agents},
            stdout,
            entries=2,
            command=(sys.executable, "-m", "limpetreel"),
        )
        self.kinds = [*PLANNED, *PLANNED, *OTHERS, *(FAULTS if has_faults else ())]
        self._busy = set()
        self._earlier = {}
        self.outcomes = {}

    async def run(self, seconds):
        """Start the site, disturb it for a time, and end it."""
        site = self.site
        try:
            await site.start_all(warmup_s=COLD_SECONDS)
            await self._configure(30)
            await site.wait_ready(40)
            await asyncio.sleep(3)
            flows = load.LongFlows(
                site,
                HOST,
                PORT,
                per_client=20 + 2 * len(site.sides),
                pause_s=lambda: self.random.choice((0.2, 1.0, 3.0, 6.0)),
            )
            await self._disturb(seconds)
            await asyncio.sleep(8)
            await flows.stop()
            self.outcomes = flows.outcomes
        finally:
            await site.stop()

    async def _configure(self, seconds=5.0):
        routes = [deployment.route("r-1", HOST, PORT, SERVICE)]
        services = [deployment.service(SERVICE, COLD_SECONDS)]
        document = self.site.document(routes, services)
        status, _ = await self.site.replace(document, seconds)
        if status != 200 and not self.site.version > 3:
            raise deployment.CannotRunError("no acknowledgement")

    async def _disturb(self, seconds):
        until = self.site.seconds() + seconds
        overlapping = []
        while self.site.seconds() < until:
            kind = self.random.choice(self.kinds)
            self.site.note("step", kind=kind)
            task = asyncio.create_task(getattr(self, f"_{kind}")())
            if self.random.random() < 0.3:
                await task
            else:
                overlapping.append(task)
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await asyncio.gather(*overlapping)

    async def _again(self, machine, role, number):
        """End a process and start it again after some time."""
        key = (machine.name, role)
        if key in self._busy:
            return
        self._busy.add(key)
        if number is signal.SIGKILL:
            self.site.note("fault", machine=machine.name)
        await self.site.kill(machine, role, number)
        await asyncio.sleep(self.random.uniform(*SLOW_START_SECONDS))
        if number is signal.SIGKILL:
            self.site.note("fault", machine=machine.name)
        await self.site.start(machine, role)
        await asyncio.sleep(1.0)
        self._busy.discard(key)

    async def _restart_agents(self, number):
        count = self.random.randint(1, max(1, len(self.site.sides) // 6))
        machines = self.random.sample(self.site.sides, count)
        await asyncio.gather(*(self._again(m, "agent", number) for m in machines))

    # Planned work

    async def _agents(self):
        await self._restart_agents(signal.SIGTERM)

    async def _control(self):
        machine = self.random.choice(self.site.controls)
        await self._again(machine, "control", signal.SIGTERM)

    async def _entry(self):
        machine = self.random.choice(self.site.edges)
        await self._again(machine, "entry", signal.SIGTERM)

    async def _edge(self):
        machine = self.random.choice(self.site.controls)
        await asyncio.gather(
            self._again(machine, "control", signal.SIGTERM),
            self._again(machine, "entry", signal.SIGTERM),
        )

    async def _return(self):
        """Restart control and entries while agents are away that start late."""
        if "return" in self._busy:
            return
        self._busy.add("return")
        agents = asyncio.create_task(self._restart_agents(signal.SIGTERM))
        await asyncio.sleep(deployment.BOUNDS["GraceS"])
        edges = [(m, "control") for m in self.site.controls]
        edges += [(m, "entry") for m in self.random.sample(self.site.edges, 3)]
        await asyncio.gather(*(self._again(*edge, signal.SIGTERM) for edge in edges))
        await agents
        self._busy.discard("return")

    async def _zone(self):
        if "zone" in self._busy:
            return
        self._busy.add("zone")
        zone = self.random.choice(deployment.ZONES)
        await self.site.order("POST", f"/Drain.Start/{zone}")
        await asyncio.sleep(self.random.uniform(4, 8))
        await self.site.order("POST", f"/Drain.Stop/{zone}")
        for target in self.site.targets:
            if target.machine.zone == zone:
                target.started = time.monotonic()
        self._busy.discard("zone")

    async def _release(self):
        """Drain an upstream, let it sign off and start its next version."""
        target = self._take_target()
        if target is None:
            return
        target.state = "draining"
        await asyncio.sleep(deployment.BOUNDS["DrainMs"] / 1000 + 1.5)
        path = f"/Instances.Deregister/{target.instance}"
        await self.site.call(target.machine.ip, "POST", path)
        self.site.note("depart", target=target.machine.name)
        await self._boot_later(target)

    async def _change(self):
        await self._configure()

    # Faults

    async def _kill_agents(self):
        await self._restart_agents(signal.SIGKILL)

    async def _kill_control(self):
        machine = self.random.choice(self.site.controls)
        await self._again(machine, "control", signal.SIGKILL)

    async def _kill_entry(self):
        machine = self.random.choice(self.site.edges)
        await self._again(machine, "entry", signal.SIGKILL)

    async def _pause(self):
        machine = self.random.choice(self.site.machines)
        role = self.random.choice(sorted(machine.roles))
        key = (machine.name, role)
        if key in self._busy:
            return
        self._busy.add(key)
        self.site.note("fault", machine=machine.name)
        machine.roles[role].send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        machine.roles[role].send_signal(signal.SIGCONT)
        self.site.note("fault", machine=machine.name)
        self._busy.discard(key)

    async def _crash(self):
        target = self._take_target()
        if target is not None:
            await self._boot_later(target)

    def _take_target(self):
        """Return an upstream that nothing else happens to, None if it is busy."""
        target = self.random.choice(self.site.targets)
        if target in self._busy:
            return None
        self._busy.add(target)
        return target

    async def _boot_later(self, target):
        """End an upstream and start it again."""
        name = target.machine.name
        self.site.note("crash", target=name)
        self._earlier[target] = (target.instance, target.body())
        target.crash()
        target.health.close()
        await asyncio.sleep(self.random.uniform(0.3, 3.0))
        await target.serve_health()
        target.start()
        self.site.note("boot", target=name)
        await asyncio.sleep(3)
        self._busy.discard(target)

    # What other systems do

    async def _cold(self):
        """Let upstreams become cold again without a restart."""
        for target in self.random.sample(self.site.targets, 3):
            target.started = time.monotonic()

    async def _late_announcement(self):
        """Deliver an announcement of an earlier start of an upstream."""
        earlier = sorted(self._earlier, key=lambda t: t.machine.name)
        if earlier:
            target = self.random.choice(earlier)
            await self._announce(target, *self._earlier[target])

    async def _odd_announcement(self):
        """Deliver an announcement of another writer."""
        target = self.random.choice(self.site.targets)
        odd = {
            "State": "resting",
            "Backend": "unknown",
            "MaxConcurrency": 10**40,
            "WarmupLeftMs": 1e300,
            "Sequence": -1,
        }
        name = self.random.choice(sorted(odd))
        body = {**target.body(), name: odd[name], "born": target.born + 60_000}
        await self._announce(target, "i-other", body)

    async def _announce(self, target, instance, body):
        path = f"/Instances.Heartbeat/{instance}"
        data = json.dumps(body).encode()
        await self.site.call(target.machine.ip, "POST", path, data)
