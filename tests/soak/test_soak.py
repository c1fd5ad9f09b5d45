"""Randomized soak test of the documented guarantees to callers and upstreams.

`LIMPETREEL_SOAK_SEED` and `LIMPETREEL_SOAK_SECONDS` set the faults and their duration;
`make soak` runs it by hand.
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
REQUESTS_PER_SECOND = 30
RECOVERY_SECONDS = 12.0
"""Bound of the platform: service is back after this time."""


async def run_site(site):
    """Run faults, commands and load; return the outcomes of the load after them."""
    loop, request_numbers = asyncio.get_running_loop(), itertools.count()
    await site.open_sockets()
    for role, hosts in (
        ("control", soak_site.CONTROLS),
        ("entry", soak_site.ENTRIES),
        ("agent", soak_site.AGENTS),
    ):
        for host in hosts:
            await site.start(role, host)
    tasks = [loop.create_task(u.announce_periodically()) for u in site.upstreams]
    tasks.append(loop.create_task(site.probe_entries()))
    try:
        await site.replace_configuration()
        assert site.acknowledged, "the first configuration was not acknowledged"
        await asyncio.sleep(3)
        load = loop.create_task(
            site.load(SECONDS, REQUESTS_PER_SECOND, request_numbers)
        )
        deadline = site.now() + SECONDS
        while site.now() < deadline:
            # Faults and operator commands overlap.
            steps = [
                site.inject_fault(),
                site.replace_configuration(),
                site.check_configuration(),
            ]
            if site.random.random() < 0.2:
                steps.append(site.take_zone_out(7.0))
            if site.random.random() < 0.3:
                site.random.choice(site.upstreams).crash()
            await asyncio.gather(*steps)
        await load
        await asyncio.sleep(RECOVERY_SECONDS)
        final_outcomes = await site.load(3, REQUESTS_PER_SECOND, request_numbers)
        await site.check_configuration()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await site.stop()
    return final_outcomes


def test_guarantees_hold_under_random_faults():
    """Guards against errors of the real programs that the simulations do not show."""
    with tempfile.TemporaryDirectory() as folder:
        site = soak_site.SoakSite(SEED, folder)
        final_outcomes = asyncio.run(run_site(site))
        logs = "".join(p.read_text() for p in site.folder.glob("*.log"))
    assert not site.callers.foreign_answers, "an answer went to another caller"
    assert not site.stale_reads, site.stale_reads
    assert not site.unexpected_exits, site.unexpected_exits
    assert "Traceback" not in logs, logs[logs.index("Traceback") :][:2000]
    for upstream in site.upstreams:
        repeated = [t for t, n in upstream.runs.items() if n > 1]
        assert not repeated, repeated
    for index, since, until in site.zone_outages:
        late = [t for t in site.upstreams[index].flows_opened_at if since < t < until]
        assert not late, (index, late)
    assert final_outcomes.get("answered", 0) >= 0.95 * sum(final_outcomes.values()), (
        final_outcomes
    )
