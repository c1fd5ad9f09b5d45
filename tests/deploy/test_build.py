"""Tests of the build of the deploy file."""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import tempfile

from tests import fixtures

load_tests = fixtures.load_functions(globals())

ROOT = pathlib.Path(__file__).resolve().parents[2]
EARLIER, LATER = 1_600_000_000, 1_700_000_000


def write(folder, files, mtime):
    """Write files of a package with one time of change."""
    for name, text in files.items():
        path = folder / "limpetreel" / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        os.utime(path, (mtime, mtime))


def copied(sources, built, source_time, built_time):
    """Return the package that results from a source tree and an earlier build."""
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        (root / "deploy").mkdir()
        shutil.copy(ROOT / "deploy/copy_package.sh", root / "deploy")
        write(root / "src", sources, source_time)
        write(root / "target/deps", built, built_time)
        subprocess.run(["sh", "deploy/copy_package.sh"], cwd=root, check=True)
        package = root / "target/deps/limpetreel"
        return {
            str(path.relative_to(package)): path.read_text()
            for path in package.rglob("*.py")
        }


# A build folder that was kept from an earlier release went on serving its programs.
def test_build_takes_the_sources_whatever_the_times_of_files():
    """Guards against a release that is built and does not run."""
    sources = {"__init__.py": "A = 2\n", "part/new.py": "B = 1\n", "same.py": "\n"}
    built = {"__init__.py": "A = 1\n", "part/gone.py": "C = 1\n", "same.py": "\n"}
    for times in ((EARLIER, LATER), (LATER, EARLIER), (EARLIER, EARLIER)):
        assert copied(sources, built, *times) == sources


def test_first_build_copies_all_sources():
    """Guards against a build that needs an earlier one."""
    sources = {"__init__.py": "", "part/new.py": "B = 1\n"}
    assert copied(sources, {}, EARLIER, LATER) == sources
