"""A small site in one process must serve without operator commands."""

from __future__ import annotations

import asyncio
import pathlib
import random
import tempfile

from limpetreel.settings import port_range, standalone_settings, upstream_address
from limpetreel.standalone import standalone_factory
from limpetreel.workload import (
    caller,
    outcome,
    port_reservation,
    upstream,
    upstream_settings,
)
from tests import fixtures

ATTEMPTS = 20


def _settings(base, folder):
    upstream_host_port = ("127.0.0.1", base + 100)
    return standalone_settings.StandaloneSettings(
        upstreams=(upstream_address.UpstreamAddress("web", upstream_host_port),),
        base_port=base,
        class_ports=port_range.PortRange(base + 200, base + 201),
        data=pathlib.Path(folder),
        drain_seconds=0.5,
        log_level="error",
    )


async def _serve_and_request(base, folder):
    cfg = _settings(base, folder)
    stopped, upstream_stopped = asyncio.Event(), asyncio.Event()
    site_task = asyncio.create_task(
        standalone_factory.build_standalone(cfg).serve(stopped)
    )
    test_upstream = upstream.Upstream(
        upstream_settings.UpstreamSettings(
            "u1", "web", "127.0.0.1", base + 100, ("127.0.0.1", base + 5), 4, 0.01, 0.0
        )
    )
    upstream_task = asyncio.create_task(test_upstream.serve(upstream_stopped))
    test_caller = caller.Caller("caller", ("127.0.0.1", base + 200), random.Random(1))
    replies = []
    for _ in range(ATTEMPTS):
        replies.append(await test_caller.request(idempotent=False))
        if replies[-1].outcome is outcome.Outcome.ANSWERED:
            break
    test_caller.close()
    stopped.set()
    await site_task
    upstream_stopped.set()
    await upstream_task
    return replies, test_upstream.runs


def test_site_serves_on_defaults():
    """Guards against a site that needs commands or keys before its first answer."""
    with tempfile.TemporaryDirectory() as folder, port_reservation.reserve() as base:
        replies, runs = asyncio.run(_serve_and_request(base, folder))
    assert replies[-1].outcome is outcome.Outcome.ANSWERED, replies
    assert runs[replies[-1].key] == 1


load_tests = fixtures.load_functions(globals())
