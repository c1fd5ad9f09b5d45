"""Randomized soak: promises of the users' pages, seen from callers and upstreams.

`LIMPETREEL_SOAK_SEED` and `LIMPETREEL_SOAK_SECONDS` choose the faults and how long
they go on; `make soak` plays it by hand.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import tempfile

from tests import fixtures
from tests.soak import soak_site

load_tests = fixtures.load_functions(globals())

SEED = int(os.environ.get("LIMPETREEL_SOAK_SEED", "1"))
SECONDS = float(os.environ.get("LIMPETREEL_SOAK_SECONDS", "12"))
PER_SECOND = 30
RECOVERY_SECONDS = 12.0
"""From the platform's bounds: service is back after this time."""


async def play(site):
    """Play faults, orders and load, then a calm end; return its outcomes."""
    loop, numbers = asyncio.get_running_loop(), itertools.count()
    await site.open_sockets()
    for role, hosts in (
        ("control", soak_site.CONTROLS),
        ("entry", soak_site.ENTRIES),
        ("agent", soak_site.AGENTS),
    ):
        for host in hosts:
            await site.start(role, host)
    tasks = [loop.create_task(u.beat()) for u in site.upstreams]
    tasks.append(loop.create_task(site.probe_entries()))
    try:
        await site.replace()
        assert site.acked, "the first configuration was not acknowledged"
        await asyncio.sleep(3)
        load = loop.create_task(site.load(SECONDS, PER_SECOND, numbers))
        until = site.now() + SECONDS
        while site.now() < until:
            # Faults and orders overlap.
            steps = [site.fault(), site.replace(), site.read_back()]
            if site.random.random() < 0.2:
                steps.append(site.move_zone(7.0))
            if site.random.random() < 0.3:
                site.random.choice(site.upstreams).crash()
            await asyncio.gather(*steps)
        await load
        await asyncio.sleep(RECOVERY_SECONDS)
        calm = await site.load(3, PER_SECOND, numbers)
        await site.read_back()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.end()
    return calm


def test_promises_hold_under_random_faults():
    """Guards against faults of the real programs that the models do not have."""
    with tempfile.TemporaryDirectory() as folder:
        site = soak_site.SoakSite(SEED, folder)
        calm = asyncio.run(play(site))
        logs = "".join(p.read_text() for p in site.folder.glob("*.log"))
    assert not site.callers.wrong, "an answer went to another caller"
    assert not site.stale_reads, site.stale_reads
    assert not site.unexpected_ends, site.unexpected_ends
    assert "Traceback" not in logs, logs[logs.index("Traceback") :][:2000]
    for upstream in site.upstreams:
        repeated = [t for t, n in upstream.runs.items() if n > 1]
        assert not repeated, repeated
    for index, since, until in site.zones:
        late = [t for t in site.upstreams[index].opened if since < t < until]
        assert not late, (index, late)
    assert calm.get("answered", 0) >= 0.95 * sum(calm.values()), calm
