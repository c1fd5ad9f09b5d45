"""Demonstration of the whole request path under load, with a zone taken out."""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
import random
import tempfile
import time
from typing import TYPE_CHECKING

import aiocoap

from limpetreel.console import exit_code
from limpetreel.workload import caller, outcome, port_reservation, reply, site

if TYPE_CHECKING:
    from collections.abc import Sequence

CALLERS_PER_CLASS = 20
REQUESTS_PER_SECOND_PER_CALLER = 4.0
POST_RATIO = 0.3
PHASE_SECONDS = 4.0
SHOWN_REPLIES = 10
REPORT_BYTES = 8192
READY_SECONDS = 20.0
CLASSES = {"bookings": 4, "briefings": 2}
"""Number of slots of each upstream, by class."""


class Demo:
    """Site of two classes in three zones under load; one zone leaves and returns.

    Parameters
    ----------
    program : sequence of str
        Command line that starts the program.
    seed : int
        Seed of the load.
    phase_s : float
        Length of each of the three phases, in seconds.
    """

    def __init__(
        self, program: Sequence[str], seed: int, phase_s: float = PHASE_SECONDS
    ) -> None:
        self._program = program
        self._phase_s = phase_s
        self._rng = random.Random(seed)
        self._seed = seed
        self._replies: list[tuple[str, str, reply.Reply]] = []
        self._callers: list[caller.Caller] = []
        self._problems: list[str] = []

    async def run(self) -> int:
        """Run the demonstration and return the exit code."""
        with (
            tempfile.TemporaryDirectory(prefix="limpetreel-") as folder,
            port_reservation.reserve() as base_port,
        ):
            self._folder = pathlib.Path(folder)
            self._site = site.Site(self._program, self._folder, base_port)
            try:
                await self._run()
                self._check_runs(await self._fetch_runs())
            finally:
                failed = await self._site.stop()
            self._problems += [f"did not stop gracefully: {p}" for p in failed]
            self._show_replies()
            await self._show_trace()
            await self._replay()
            for log in sorted(self._folder.glob("*.log")):
                if "Traceback" in log.read_text():
                    self._problems.append(f"exception in {log.name}")
                    print(log.read_text()[-2000:])
        return self._print_summary()

    async def _run(self) -> None:
        ports = await self._start()
        print("load on all zones")
        load = [
            asyncio.create_task(self._send_requests(name, port))
            for name, port in ports.items()
            for _ in range(CALLERS_PER_CLASS)
        ]
        await asyncio.sleep(self._phase_s)
        await self._check_block_transfer(next(iter(ports.values())))
        await self._run_operator_command("zone", "out", site.ZONES[2])
        await asyncio.sleep(self._phase_s)
        await self._run_operator_command("zone", "in", site.ZONES[2])
        await asyncio.sleep(self._phase_s)
        self._stopping = True
        await asyncio.gather(*load)

    async def _start(self) -> dict[str, int]:
        """Start all processes and return the port of each class."""
        self._stopping = False
        await self._site.start_control()
        for zone in site.ZONES:
            await self._run_operator_command("zone", "create", zone)
        for name in CLASSES:
            await self._run_operator_command(
                "class", "create", name, "--capacity=100", "--answer-ms=1000"
            )
        ips = await self._site.start_entries()
        for name, slots in CLASSES.items():
            for number, zone in enumerate(site.ZONES):
                await self._site.start_upstream(name, number + 1, zone, slots)
        expected = len(site.ZONES) * (1 + len(CLASSES))
        ports = await self._wait_for_members(expected)
        await self._site.start_fabric(list(ports.values()), ips, self._seed)
        await asyncio.sleep(2)
        return ports

    async def _wait_for_members(self, count: int) -> dict[str, int]:
        deadline = time.monotonic() + READY_SECONDS
        while True:
            _, out = await self._site.run_operator_command("status", "--json")
            records = json.loads(out)["records"]
            members = [r for r in records if r["type"] == "member"]
            if len(members) >= count:
                return {r["name"]: r["port"] for r in records if r["type"] == "class"}
            if time.monotonic() > deadline:
                names = ", ".join(sorted(str(m.get("name")) for m in members))
                raise TimeoutError(
                    f"{len(members)} of {count} members have joined: {names}; "
                    f"processes that have ended: {self._site.ended_processes()}"
                )
            await asyncio.sleep(0.2)

    async def _run_operator_command(self, *args: str) -> None:
        code, out = await self._site.run_operator_command(*args)
        print(f"$ limpetreel {' '.join(args)}\n  {out}")
        if code:
            self._problems.append(f"{' '.join(args)}: {out}")

    async def _send_requests(self, class_name: str, port: int) -> None:
        """Send the requests of one caller until the load ends."""
        number = len(self._callers)
        rng = random.Random(self._rng.random())
        client = caller.Caller(
            f"{class_name}-caller-{number}", (site.PUBLIC_IP, port), rng
        )
        self._callers.append(client)
        while not self._stopping:
            result = await client.request(rng.random() >= POST_RATIO)
            self._replies.append((class_name, client.name, result))
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_SECOND_PER_CALLER))
        client.close()

    async def _check_block_transfer(self, port: int) -> None:
        """Fetch an answer that takes several blocks with an unmodified CoAP client."""
        context = await aiocoap.Context.create_client_context(transports=["simple6"])
        req = aiocoap.Message(
            code=aiocoap.GET, uri=f"coap://{site.PUBLIC_IP}:{port}/report"
        )
        answer = await context.request(req).response
        size = len(answer.payload)
        print(f"stock client: {answer.code}, {size} bytes in blocks")
        if size != REPORT_BYTES:
            self._problems.append(f"the report has {size} of {REPORT_BYTES} bytes")
        await context.shutdown()

    def _show_replies(self) -> None:
        step = max(1, len(self._replies) // SHOWN_REPLIES)
        shown = self._replies[::step][:SHOWN_REPLIES]
        print(f"{len(shown)} of {len(self._replies)} requests")
        for class_name, _, result in shown:
            kind = "GET " if result.idempotent else "POST"
            where = f" by {result.upstream}" if result.upstream else ""
            ms = f"{result.seconds * 1000:.0f} ms"
            print(f"  {kind} {class_name} {result.key}: {result.outcome}{where}, {ms}")

    async def _show_trace(self) -> None:
        """Print the trace with the most spans."""
        paths = self._site.find_files(site.TRACE_FILE)
        spans = [json.loads(line) for p in paths for line in p.read_text().splitlines()]
        span_counts = collections.Counter(s["trace_id"] for s in spans)
        if not span_counts:
            self._problems.append("no trace spans were written")
            return
        longest, _ = span_counts.most_common(1)[0]
        args = ("trace", *map(str, paths), "--id", longest)
        code, out = await self._site.run_command(*args)
        print(f"trace of one packet\n{out}")
        if code:
            self._problems.append("the trace could not be read")

    async def _replay(self) -> None:
        """Replay the decision log of each entry and agent."""
        for path in self._site.find_files(site.DECISION_LOG):
            code, out = await self._site.run_command("replay", str(path))
            if code:
                self._problems.append(f"replay of {path.parent.name}: {out}")
        count = len(self._site.find_files(site.DECISION_LOG))
        print(f"decisions of {count} processes replayed")

    async def _fetch_runs(self) -> collections.Counter[str]:
        """Return how often each request ran according to the upstreams."""
        context = await aiocoap.Context.create_client_context(transports=["simple6"])
        total: collections.Counter[str] = collections.Counter()
        for port in self._site.upstream_ports.values():
            req = aiocoap.Message(code=aiocoap.GET, uri=f"coap://127.0.0.1:{port}/runs")
            answer = await context.request(req).response
            total.update(json.loads(answer.payload)["runs"])
        await context.shutdown()
        return total

    def _check_runs(self, runs: collections.Counter[str]) -> None:
        """Compare the outcomes seen by callers with the runs on the upstreams."""
        for _, _, result in self._replies:
            if result.outcome is outcome.Outcome.NOT_RUN and runs[result.key]:
                self._problems.append(f"{result.key} ran but was refused as not run")
            if not result.idempotent and runs[result.key] > 1:
                self._problems.append(f"{result.key} ran {runs[result.key]} times")
            if result.outcome is outcome.Outcome.ANSWERED and not runs[result.key]:
                self._problems.append(f"{result.key} was answered but did not run")

    def _count_broken_flows(self) -> int:
        """Count moves of flows off upstreams whose zone was not taken out."""
        removed_suffix = f"-{len(site.ZONES)}"
        last: dict[str, str] = {}
        broken = 0
        for _, name, result in self._replies:
            if not result.upstream:
                continue
            old = last.get(name, result.upstream)
            broken += old != result.upstream and not old.endswith(removed_suffix)
            last[name] = result.upstream
        return broken

    def _print_summary(self) -> int:
        counts = collections.Counter(r.outcome for _, _, r in self._replies)
        broken = self._count_broken_flows()
        foreign = sum(c.foreign_answers for c in self._callers)
        print("outcome       count")
        for kind in outcome.Outcome:
            print(f"{kind:12} {counts[kind]:6}")
        print(f"broken flows {broken:6}")
        print(f"foreign answers {foreign:3}")
        if broken or foreign:
            self._problems.append(
                "flows changed their upstream or answers reached the wrong request"
            )
        if not counts[outcome.Outcome.ANSWERED]:
            self._problems.append("no request was answered")
        for problem in self._problems:
            print(f"problem: {problem}")
        return exit_code.ExitCode.FAILED if self._problems else exit_code.ExitCode.OK
