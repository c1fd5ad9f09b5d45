"""A copy of this source tree with a build of its own."""

from __future__ import annotations

import contextlib
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from tests.platform import test_start

ROOT = pathlib.Path(__file__).resolve().parents[2]
PARTS = ("src", "deploy", "limpetreel")
SECONDS = 60


@contextlib.contextmanager
def make(is_built=True):
    """Yield a tree with the libraries of this environment as its build."""
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder).resolve() / "tree"
        for part in PARTS:
            ignored = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(ROOT / part, root / part, ignore=ignored)
        (root / "target/deps").mkdir(parents=True)
        test_start.link_libraries(str(root / "target/deps"))
        if is_built:
            path = f"{pathlib.Path(sys.executable).parent}:{os.environ['PATH']}"
            subprocess.run(
                ["sh", "deploy/build.sh"], cwd=root, env={"PATH": path}, check=True
            )
        yield root


def words(*arguments, before=()):
    """Return the command line of the deploy file with some arguments."""
    return [sys.executable, "-S", *before, "-m", "limpetreel", *arguments]


def run(root, *arguments, before=(), libraries=None):
    """Run the program; return its exit code and what it wrote to its two outputs."""
    result = subprocess.run(
        words(*arguments, before=before),
        cwd=root,
        env={"PYTHONPATH": str((libraries or root) / "target/deps")},
        capture_output=True,
        text=True,
        check=False,
        timeout=SECONDS,
    )
    return result.returncode, result.stdout, result.stderr
