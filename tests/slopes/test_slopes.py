from __future__ import annotations

import json
import subprocess
import sys
import tempfile

from limpetreel.slopes import slope
from tests import fixtures

load_tests = fixtures.load_functions(globals())


def test_fit_finds_the_line():
    """Guards against a fit that swaps slope and intercept."""
    fitted = slope.fit("x", "y", "z", {1.0: 5.0, 2.0: 7.0, 3.0: 9.0}, 10.0)
    assert (fitted.slope, fitted.intercept, fitted.at_design) == (2.0, 3.0, 23.0)


def test_command_prints_every_role():
    """Guards against a command that fails after a change in the measured code."""
    with tempfile.TemporaryDirectory() as folder:
        arguments = ["-m", "limpetreel.slopes", "--quick", "--scratch", folder]
        completed = subprocess.run(
            [sys.executable, *arguments], capture_output=True, text=True, check=False
        )
    assert completed.returncode == 0, completed.stderr
    slopes = [json.loads(line) for line in completed.stdout.splitlines()]
    assert all(len(s["sizes"]) == len(s["values"]) >= 3 for s in slopes), slopes
    # A value that was not measured is infinite, which JSON encodes as null.
    assert all(isinstance(v, float | int) for s in slopes for v in s["values"]), slopes
    roles = {s["name"].partition(".")[0] for s in slopes}
    assert roles == {"entry", "agent", "node", "control", "process"}, roles
