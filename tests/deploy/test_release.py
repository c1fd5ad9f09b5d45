"""Tests of what a process says about the release that it runs."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import subprocess
import time

import limpetreel
from limpetreel import platform_factory
from limpetreel.telemetry import source_digest
from tests import fixtures
from tests.deploy import release_tree
from tests.platform import test_roles

load_tests = fixtures.load_functions(globals())

METRICS_PATH = "/metrics"


def digest(root):
    """Return the digest of the programs of a tree."""
    return str(source_digest.SourceDigest(str(root / "src/limpetreel")))


def replace_version(root, version):
    """Make the build hold another version of one library."""
    libraries = root / "target/deps"
    (found,) = libraries.glob("msgspec-*.dist-info")
    found.rename(libraries / f"msgspec-{version}.dist-info")


# The build holds no metadata of the package, so the command ended with a traceback.
def test_version_names_the_sources_on_the_build():
    """Guards against a build of which nobody can tell the release."""
    with release_tree.make() as root:
        for arguments in (["--version"], ["version"]):
            code, output, errors = release_tree.run(root, *arguments)
            assert (code, errors) == (0, ""), errors
            assert output.startswith(f"limpetreel 0.1.0, sources {digest(root)}, ")
        with (root / "src/limpetreel/factory.py").open("a") as file:
            file.write("# changed\n")
        _, output, _ = release_tree.run(root, "--version")
        assert digest(root) in output, output


def test_version_is_that_of_the_project_file():
    """Guards against two versions of which one is not raised."""
    text = (release_tree.ROOT / "pyproject.toml").read_text()
    assert f'\nversion = "{limpetreel.__version__}"\n' in text


def test_build_of_another_tree_is_named():
    """Guards against a build folder that serves another release and does not say so."""
    with release_tree.make() as root:
        replace_version(root, "0.1.0")
        code, _, errors = release_tree.run(root, "--version")
        assert code == 1 and "0.1.0 of msgspec is installed" in errors, errors
        replace_version(root, "0.23.0")
        with release_tree.make(is_built=False) as other:
            words = {"before": ["-P"], "libraries": root}
            code, _, errors = release_tree.run(other, "--version", **words)
            assert code == 1, errors
            assert f"from {root}/src/limpetreel, not from the tree {other}" in errors
        (root / "src/limpetreel/__pycache__").rename(root / "elsewhere")
        before = ["-B"]
        code, _, errors = release_tree.run(root, "--version", before=before)
        assert code == 1 and "not compiled" in errors, errors


# A folder of another processor or Python ended each role with a traceback.
def test_library_that_cannot_be_imported_is_named():
    """Guards against a role that ends at each start without saying what to do."""
    with release_tree.make() as root:
        libraries = root / "target/deps"
        (libraries / "msgspec").rename(libraries / "moved")
        for arguments in (["platform", "agent"], ["--version"]):
            code, output, errors = release_tree.run(root, *arguments)
            assert (code, output) == (1, ""), errors
            assert errors.count("\n") == 1 and "'msgspec'" in errors, errors
            assert "sh deploy/build.sh" in errors, errors


async def scrape(host, port):
    """Return the metrics of a process, once it serves them."""
    until = asyncio.get_running_loop().time() + test_roles.START_SECONDS
    while True:
        with contextlib.suppress(OSError):
            return await test_roles.call(host, port, "GET", METRICS_PATH)
        assert asyncio.get_running_loop().time() < until
        await asyncio.sleep(0.05)


def read_lines(path, step):
    """Return the lines of a log, once one of them has a step."""
    until = time.monotonic() + test_roles.START_SECONDS
    while True:
        lines = [json.loads(x) for x in path.read_text().splitlines()]
        if any(x["step"] == step for x in lines):
            return lines
        assert time.monotonic() < until, path.read_text()
        time.sleep(0.05)


def test_role_names_its_sources_in_log_and_metrics():
    """Guards against a process that runs another release than operators believe."""
    with release_tree.make() as root:
        replace_version(root, "0.1.0")
        base = test_roles.free_ports()
        path = test_roles.write_settings(root, "agent", test_roles.AGENT, base)
        log = root / "log"
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": "target/deps",
            "LIMPETREEL_CONFIG": str(path),
        }
        with log.open("wb") as output:
            process = subprocess.Popen(
                release_tree.words("platform", "agent"),
                cwd=root,
                env=env,
                stdout=output,
                stderr=output,
            )
        try:
            port = platform_factory.METRICS_PORTS["agent"]
            _, metrics = asyncio.run(scrape(test_roles.AGENT, port))
            lines = read_lines(log, "build.outdated")
        finally:
            process.kill()
            process.wait()
        assert lines[0]["step"] == "process.start", lines[0]
        assert lines[0]["sources"] == digest(root), lines[0]
        (fault,) = [x for x in lines if x["step"] == "build.outdated"]
        assert fault["level"] == "error" and "of msgspec" in fault["detail"], fault
        assert f'sources="{digest(root)}"' in metrics.decode(), metrics
