"""The whole system as separate processes on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import io
import sys

from limpetreel.console import exit_code
from limpetreel.workload import demo
from tests import fixtures

PHASE_SECONDS = 2.0


def test_site_serves_while_a_zone_leaves_and_returns():
    """Guards against faults that appear only when all processes run together.

    The demonstration fails if a flow changes its upstream, an answer reaches the
    wrong request, a request runs twice or after a refusal, or a process does not
    stop gracefully.
    """
    output = io.StringIO()
    program = (sys.executable, "-m", "limpetreel")
    with contextlib.redirect_stdout(output):
        code = asyncio.run(demo.Demo(program, 1, PHASE_SECONDS).run())
    assert code == exit_code.ExitCode.OK, output.getvalue()


load_tests = fixtures.load_functions(globals())
