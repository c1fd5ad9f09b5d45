from __future__ import annotations

import json
import subprocess
import sys
import tempfile

from limpetreel.slopes import slope
from tests import fixtures

load_tests = fixtures.load_functions(globals())


def test_fit_finds_the_line():
    """Guards against a line that swaps slope and intercept."""
    found = slope.fit("x", "y", "z", {1.0: 5.0, 2.0: 7.0, 3.0: 9.0}, 10.0)
    assert (found.slope, found.intercept, found.at_design) == (2.0, 3.0, 23.0)


def test_command_prints_every_role():
    """Guards against a command that fails after a change of the code it measures."""
    with tempfile.TemporaryDirectory() as folder:
        words = ["-m", "limpetreel.slopes", "--quick", "--scratch", folder]
        done = subprocess.run(
            [sys.executable, *words], capture_output=True, text=True, check=False
        )
    assert done.returncode == 0, done.stderr
    found = [json.loads(line) for line in done.stdout.splitlines()]
    assert all(len(f["sizes"]) == len(f["values"]) >= 3 for f in found), found
    # A figure that was not measured is infinite, which JSON shows as null.
    assert all(isinstance(v, float | int) for f in found for v in f["values"]), found
    roles = {f["name"].partition(".")[0] for f in found}
    assert roles == {"entry", "agent", "node", "control", "process"}, roles
