"""A small site in one process must serve without operator commands."""

from __future__ import annotations

import asyncio
import contextlib
import io
import pathlib
import random
import tempfile

from limpetreel.settings import port_range, standalone_settings, upstream_address
from limpetreel.standalone import standalone_factory, standalone_shell
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


class _Role:
    """Role that serves until it is stopped."""

    async def serve(self, stopped):
        """Wait."""
        await stopped.wait()


class _FailingClient:
    """Client whose calls raise an error that nothing expects."""

    def call(self, body):
        """Fail."""
        raise KeyError(body["type"])


async def _set_up_in_vain():
    cfg = _settings(24000, "data")
    shell = standalone_shell.StandaloneShell(
        cfg, _Role(), _Role(), [_Role()], _FailingClient()
    )
    stopped = asyncio.Event()
    asyncio.get_running_loop().call_later(0.2, stopped.set)
    await shell.serve(stopped)


def test_error_of_the_set_up_is_printed():
    """Guards against a site without classes that does not say why."""
    output = io.StringIO()
    with contextlib.redirect_stderr(output):
        asyncio.run(_set_up_in_vain())
    lines = output.getvalue().splitlines()
    assert lines == [
        "limpetreel: zone_create failed: KeyError('zone_create')",
        "limpetreel: class_create failed: KeyError('class_create')",
    ]


load_tests = fixtures.load_functions(globals())
