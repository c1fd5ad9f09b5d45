"""Tests of the build of the deploy file, with build folders from elsewhere."""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import time

from tests import fixtures
from tests.deploy import scratch_tree

load_tests = fixtures.load_functions(globals())

INSTALL_PAUSE = 1.5
"""Seconds between the folders that the stand-in of pip writes."""
FOREIGN_MODULE = "library/_speedups.cpython-311-other-linux-gnu.so"


# A target/ of an earlier release served its programs, built again or not.
def test_programs_are_those_of_the_tree_whatever_build_folder_it_has():
    """Guards against a release that is deployed and does not run."""
    for mtime in (scratch_tree.EARLIER - 1, scratch_tree.EARLIER, scratch_tree.LATER):
        for steps in ("none", "build", "build without registry"):
            with scratch_tree.make("tree") as root:
                libraries = root / "target/deps"
                package = libraries / "limpetreel"
                scratch_tree.write_package(package, "past", mtime, is_compiled=True)
                (package / "gone.py").write_text("")
                (root / "target/installed").write_text("a stamp of another form")
                offered = ""
                if steps == "build":
                    offered = scratch_tree.offer_library(root)
                if steps != "none":
                    code, output = scratch_tree.run_build(root, offered)
                    assert code == (not offered), output
                    assert not (package / "gone.py").exists()
                found = scratch_tree.run_program(root)
                assert found == "tree tree", (mtime, steps, found)


# A folder of compiled files can come from sources with the same times and sizes.
def test_compiled_files_of_other_sources_are_not_run():
    """Guards against an earlier release that is kept in compiled form."""
    with scratch_tree.make("tree") as root:
        sources = root / "src/limpetreel"
        scratch_tree.write_package(sources, "past", is_compiled=True)
        scratch_tree.write_package(sources, "tree")
        scratch_tree.write_library(root / "target/deps")
        assert scratch_tree.run_build(root) == (0, "")
        assert scratch_tree.run_program(root) == "tree tree"
        # And once more, from files that the build has compiled.
        scratch_tree.write_package(sources, "late")
        assert scratch_tree.run_program(root) == "late late"


def test_programs_started_elsewhere_are_those_of_the_tree():
    """Guards against a copy among the libraries that is older than the tree."""
    with scratch_tree.make("tree") as root:
        package = root / "target/deps/limpetreel"
        scratch_tree.write_package(package, "past", scratch_tree.LATER, True)
        assert scratch_tree.run_build(root)[0] == 1
        assert scratch_tree.run_program(root, cwd=root.parent) == "tree tree"
        assert scratch_tree.run_program(root, before=["-P"]) == "tree tree"
        assert [p.name for p in package.glob("*.py")] == ["__init__.py"]


# The release before the loader has no package at its root.
def test_build_folder_serves_an_earlier_release_after_a_rollback():
    """Guards against the programs of the later release after a rollback."""
    with scratch_tree.make("late") as root:
        scratch_tree.write_library(root / "target/deps")
        assert scratch_tree.run_build(root) == (0, "")
        with scratch_tree.make("tree", has_loader=False) as earlier:
            (root / "target").rename(earlier / "target")
            assert scratch_tree.run_program(earlier) == "tree tree"


def test_build_folder_without_a_tree_is_an_error_that_says_so():
    """Guards against an import error that names no cause."""
    with scratch_tree.make() as root:
        scratch_tree.write_library(root / "target/deps")
        assert scratch_tree.run_build(root) == (0, "")
        (root / "src").rename(root / "moved")
        assert "no source tree with src/limpetreel" in scratch_tree.run_program(root)


def test_libraries_that_serve_stay_without_pip():
    """Guards against a build that needs a registry for what it has."""
    with scratch_tree.make() as root:
        scratch_tree.write_library(root / "target/deps")
        (root / "target/installed").write_text("a stamp of another form")
        before = (root / "target/deps/library").stat().st_ino
        assert scratch_tree.run_build(root) == (0, "")
        assert scratch_tree.pip_calls(root) == []
        assert (root / "target/deps/library").stat().st_ino == before


def damaged_libraries():
    """Return what may be wrong with libraries, with a change that makes it so."""

    def other_version(libraries):
        scratch_tree.write_library(libraries, "1.0")

    def two_versions(libraries):
        scratch_tree.write_library(libraries, "1.0")
        scratch_tree.write_library(libraries, "2.0")

    def changed_file(libraries):
        scratch_tree.write_library(libraries)
        (libraries / "library/__init__.py").write_text("VERSION = '2.0 '\n")

    def missing_file(libraries):
        scratch_tree.write_library(libraries)
        (libraries / "library/__init__.py").unlink()

    def other_processor(libraries):
        files = {"library/__init__.py": "VERSION = '1'\n", FOREIGN_MODULE: "x"}
        scratch_tree.write_library(libraries, files=files)

    def broken_import(libraries):
        files = {"library/__init__.py": "import nothing_of_this_name\n"}
        scratch_tree.write_library(libraries, files=files)

    return {
        "1.0 of library is installed, 2.0 is required": other_version,
        "1.0 and 2.0 of library": two_versions,
        "library/__init__.py is not the file that was installed": changed_file,
        "library/__init__.py cannot be read": missing_file,
        "No module named 'library._speedups'": other_processor,
        "No module named 'nothing_of_this_name'": broken_import,
        "no version of library": lambda libraries: None,
    }


# A folder may come from another processor, Python, list, or from a build that failed.
def test_libraries_that_do_not_serve_are_replaced_or_named():
    """Guards against libraries of another machine, and against a silent failure."""
    for fault, damage in damaged_libraries().items():
        with scratch_tree.make() as root:
            libraries = root / "target/deps"
            libraries.mkdir(parents=True)
            damage(libraries)
            before = {p.name for p in libraries.iterdir()}
            code, output = scratch_tree.run_build(root)
            assert code == 1 and fault in output and "No matching" in output, output
            assert "Traceback" not in output, output
            assert before <= {p.name for p in libraries.iterdir()}, fault
            offered = scratch_tree.offer_library(root)
            assert scratch_tree.run_build(root, offered) == (0, ""), fault
            assert scratch_tree.library_version(root) == "2.0", fault
            assert scratch_tree.run_program(root) == "tree tree", fault
            assert not list((root / "target").glob("deps.*"))


def test_libraries_that_pip_installs_are_checked_too():
    """Guards against a build that is done with libraries that cannot be imported."""
    with scratch_tree.make() as root:
        scratch_tree.write_library(root / "target/deps", "1.0")
        offered = scratch_tree.offer_library(root, files={FOREIGN_MODULE: "x"})
        code, output = scratch_tree.run_build(root, offered)
        assert code == 1 and "do not serve once installed" in output, output
        assert scratch_tree.library_version(root) == "1.0"


def partial_libraries(root):
    """Return the folders in which libraries are being installed."""
    return list((root / "target").glob("deps.new.*/library"))


# The installer of a build that was killed goes on writing.
def test_build_that_is_killed_leaves_what_there_was():
    """Guards against libraries of which a part is installed."""
    with scratch_tree.make() as root:
        scratch_tree.write_library(root / "target/deps", "1.0")
        offered = scratch_tree.offer_library(root)
        process = scratch_tree.start_build(root, offered, INSTALL_PAUSE)
        until = time.monotonic() + scratch_tree.BUILD_SECONDS
        while not partial_libraries(root):
            assert time.monotonic() < until
            time.sleep(0.02)
        # The shell has become the build.
        process.kill()
        process.wait()
        process.stdout.close()
        assert scratch_tree.run_program(root) == "tree tree"
        assert scratch_tree.library_version(root) == "1.0"
        process = scratch_tree.start_build(root, offered, INSTALL_PAUSE)
        output, _ = process.communicate(timeout=scratch_tree.BUILD_SECONDS)
        assert (process.returncode, output) == (0, "")
        assert scratch_tree.library_version(root) == "2.0"
        for pid in scratch_tree.pip_calls(root):
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)


def test_builds_at_once_install_once():
    """Guards against two builds that write the same folder."""
    with scratch_tree.make() as root:
        offered = scratch_tree.offer_library(root)
        builds = [scratch_tree.start_build(root, offered, 0.3) for _ in range(3)]
        outputs = [x.communicate(timeout=scratch_tree.BUILD_SECONDS)[0] for x in builds]
        assert [x.returncode for x in builds] == [0, 0, 0], outputs
        assert len(scratch_tree.pip_calls(root)) == 1
        assert scratch_tree.library_version(root) == "2.0"


def test_program_that_is_no_valid_python_is_named():
    """Guards against a build that is done with programs that do not start."""
    with scratch_tree.make() as root:
        (root / "src/limpetreel/part.py").write_text("def\n")
        scratch_tree.write_library(root / "target/deps")
        code, output = scratch_tree.run_build(root)
        assert code == 1 and "src/limpetreel/part.py is not valid" in output, output


def test_other_python_compiles_its_own_files():
    """Guards against compiled files that only the interpreter of the build can read."""
    with scratch_tree.make() as root:
        scratch_tree.write_library(root / "target/deps")
        assert scratch_tree.run_build(root) == (0, "")
        cached = root / "src/limpetreel/__pycache__"
        tag = sys.implementation.cache_tag
        for path in cached.iterdir():
            path.write_bytes(b"\x00" * 16 + path.read_bytes()[16:])
            assert tag in path.name
        assert scratch_tree.run_build(root) == (0, "")
        assert scratch_tree.run_program(root) == "tree tree"
