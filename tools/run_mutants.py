"""Apply each deliberate fault to a scratch copy and run the test that must find it.

The faults are in ``tests/*/mutants.py``, each as (name, file, old text, new text,
test id); the old text occurs exactly once in the file. Fails if a fault survives.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import importlib
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
PARTS = ("src", "tests", "tools", "deploy", "limpetreel")
MAX_PROCESSES = 6
TEST_TIMEOUT_SECONDS = 300
FOUND = "found"


class Mutant(typing.NamedTuple):
    """One deliberate fault; see the module docstring."""

    package: str
    name: str
    file: str
    old: str
    new: str
    test_id: str


def collect(only: str) -> list[Mutant]:
    """Return the faults whose name contains a text, sorted by package."""
    mutants = []
    for path in sorted(ROOT.glob("tests/*/mutants.py")):
        package = path.parent.name
        module = importlib.import_module(f"tests.{package}.mutants")
        mutants += [Mutant(package, *fields) for fields in module.MUTANTS]
    return [m for m in mutants if only in m.name]


def run_mutant(mutant: Mutant) -> str:
    """Return `FOUND`, or why the test does not count as finding the fault."""
    with tempfile.TemporaryDirectory(prefix="limpetreel-mutant-") as folder:
        root_copy = pathlib.Path(folder)
        ignored = shutil.ignore_patterns("__pycache__")
        for part in PARTS:
            shutil.copytree(ROOT / part, root_copy / part, ignore=ignored)
        path = root_copy / mutant.file
        text = path.read_text()
        if text.count(mutant.old) != 1 or mutant.old == mutant.new:
            return "DOES NOT APPLY"
        path.write_text(text.replace(mutant.old, mutant.new))
        return _run(root_copy, mutant.test_id)


def _run(root_copy: pathlib.Path, test_id: str) -> str:
    command = [sys.executable, "tools/run_tests.py", "--pattern", test_id]
    env = {**os.environ, "PYTHONPATH": str(root_copy / "src")}
    env["PYTHONDONTWRITEBYTECODE"] = "1"
    try:
        result = subprocess.run(
            command,
            cwd=root_copy,
            env=env,
            capture_output=True,
            check=False,
            timeout=TEST_TIMEOUT_SECONDS,
        )
    except subprocess.TimeoutExpired:
        return "TIME LIMIT"
    if b"Ran 0 tests" in result.stderr:
        return "NO SUCH TEST"
    # A module that fails to import does not show that the test finds the fault.
    if b"unittest.loader._FailedTest" in result.stderr:
        return "NOT IMPORTABLE"
    return FOUND if result.returncode == 1 else "SURVIVED"


def main() -> int:
    """Run the faults, print a table and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", metavar="NAME", help="part of a name")
    parser.add_argument(
        "--processes",
        type=int,
        default=MAX_PROCESSES,
        choices=range(1, MAX_PROCESSES + 1),
    )
    args = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    mutants = collect(args.only)
    with concurrent.futures.ThreadPoolExecutor(args.processes) as pool:
        results = pool.map(run_mutant, mutants)
        missed = 0
        for mutant, result in zip(mutants, results, strict=True):
            missed += result != FOUND
            fault = f"{mutant.package}: {mutant.name}"
            print(f"{result:14} | {fault:60} | {mutant.test_id}", flush=True)
    print(f"{len(mutants) - missed} of {len(mutants)} deliberate faults found")
    return 1 if missed or not mutants else 0


if __name__ == "__main__":
    sys.exit(main())
