"""A killed process must leave files that hold all that it acknowledged."""

from __future__ import annotations

import os
import pathlib
import random
import subprocess
import sys
import tempfile
import unittest

from limpetreel import exceptions
from limpetreel.consensus import member
from limpetreel.storage import folder_disk, log_store
from tests import fixtures

KILLS = 6
ROOT = pathlib.Path(__file__).resolve().parents[2]


def _run_until_killed(folder, lines):
    """Return the last index that the child acknowledged before it was killed."""
    env = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}"}
    command = [sys.executable, "-m", "tests.storage.log_writer", str(folder)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, env=env) as child:
        read = [child.stdout.readline() for _ in range(lines)]
        child.kill()
        rest = child.stdout.read().splitlines(keepends=True)
    return max(int(line) for line in [*read, *rest] if line.endswith(b"\n"))


def test_kill_at_random_points():
    """Guards against lost or torn entries in real files after SIGKILL."""
    rng = random.Random(7)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        files = folder_disk.FolderDisk(folder)
        log_store.LogStore(files).create("a", 1, (member.Member("a", 1, "a"),))
        files.close()
        for _ in range(KILLS):
            acknowledged = _run_until_killed(folder, rng.randint(1, 150))
            store = log_store.LogStore(folder_disk.FolderDisk(folder))
            state = store.recover()
            store.close()
            indexes = [e.index for e in state.entries]
            last = state.snapshot.index + len(indexes)
            assert indexes == list(range(state.snapshot.index + 1, last + 1))
            assert all(e.data == b"%d" % e.index for e in state.entries)
            assert last >= acknowledged


def test_folder_is_held_by_one_process():
    """Guards against two writers on one log."""
    with tempfile.TemporaryDirectory() as name:
        first = folder_disk.FolderDisk(pathlib.Path(name))
        with unittest.TestCase().assertRaises(exceptions.StorageError):
            folder_disk.FolderDisk(pathlib.Path(name))
        first.close()
        folder_disk.FolderDisk(pathlib.Path(name)).close()


load_tests = fixtures.load_functions(globals())
