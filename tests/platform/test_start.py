"""A role imports only what it needs to serve.

Processes are started again while callers wait, on machines with 0.12 of a core.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import subprocess
import sys
import tempfile
from importlib import metadata

from limpetreel.platform import paths
from tests import fixtures
from tests.platform import test_roles

load_tests = fixtures.load_functions(globals())

ROOT = pathlib.Path(__file__).parents[2]
LATER = {
    "aioprometheus": "first request to the metrics",
    "argparse": "not needed: the roles have no arguments",
    "inspect": "with the log library, or for an error message",
    "eliot": "2 s after the start",
    "ipaddress": "a document with an invalid host",
    "pathlib": "with the libraries above",
    "_ssl": "not needed; asyncio tries to import ssl, which is hidden",
    "locale": "not needed",
    "platform": "not needed",
    "shutil": "not needed: the argument parser uses it",
    "textwrap": "not needed: schemas of msgspec use it",
    "traceback": "with the log library, or for an error message",
    "urllib": "first name with a percent sign",
}
"""Modules that no role imports before it serves, and when they are imported."""
MAX_LIBRARY_MODULES = {"entry": 154, "agent": 159, "control": 155}
"""Five above the number that a role needs, nine of them of the HTTP library. One module
takes 0.3 to 3 ms."""
MAX_OWN_MODULES = {"entry": 112, "agent": 123, "control": 166}
"""Twenty above the number that a role needs; one takes 0.2 to 0.4 ms."""


async def serve_one_request(role, host, base):
    """Send the first request that the platform sends to a role."""
    port, method, path, body = base + 5, "GET", paths.READY, b""
    if role == "agent":
        fields = {"Backend": "s-1", "Zone": "zone-a", "Version": "v1", "Sequence": 1}
        fields.update(MaxConcurrency=2, State="ready", WarmupLeftMs=0)
        fields["Address"] = f"{test_roles.UPSTREAM}:{base + 8}"
        body = json.dumps(fields).encode()
        port, method, path = base + 6, "POST", paths.ANNOUNCE + "i-1"
    elif role == "control":
        port, path = base + 6, paths.READ_CONFIGURATION
    until = asyncio.get_running_loop().time() + test_roles.START_SECONDS
    while True:
        try:
            return await test_roles.call(host, port, method, path, body)
        except OSError:
            assert asyncio.get_running_loop().time() < until, role
            await asyncio.sleep(0.02)


def link_libraries(folder):
    """Make a folder with the libraries of the deployment and no others.

    A library may import optional ones, as msgspec does with typing_extensions.
    """
    for line in (ROOT / "deploy" / "requirements.txt").read_text().splitlines():
        if line.startswith("#"):
            continue
        found = metadata.distribution(line.partition("==")[0])
        for name in {file.parts[0] for file in found.files}:
            source, link = found.locate_file(name), pathlib.Path(folder) / name
            if source.exists() and not link.exists():
                link.symlink_to(source)


def modules_of(role, host, folder):
    """Start a role and return the modules it has imported once it has answered."""
    base = test_roles.free_ports()
    link_libraries(folder)
    env = {
        "LIMPETREEL_CONFIG": str(test_roles.write_settings(folder, role, host, base)),
        "PYTHONPATH": os.pathsep.join((folder, str(ROOT / "src"))),
    }
    words = ["-S", "-X", "importtime", "-m", "limpetreel", "platform", role]
    with tempfile.TemporaryFile() as errors:
        process = subprocess.Popen(
            [sys.executable, *words], env=env, stdout=subprocess.DEVNULL, stderr=errors
        )
        try:
            asyncio.run(serve_one_request(role, host, base))
        finally:
            process.kill()
            process.wait()
        errors.seek(0)
        lines = errors.read().decode().splitlines()
    return {x.split("|")[2].strip() for x in lines if x.startswith("import time:")}


def test_roles_import_what_they_need_to_serve():
    """Guards against an import that each start of a process has to wait for."""
    for role, host in (
        ("entry", test_roles.ENTRY),
        ("agent", test_roles.AGENT),
        ("control", test_roles.CONTROL),
    ):
        with tempfile.TemporaryDirectory() as folder:
            modules = modules_of(role, host, folder)
        assert "asyncio" in modules, modules
        early = {name.partition(".")[0] for name in modules} & set(LATER)
        assert not early, (role, early)
        own = {name for name in modules if name.startswith("limpetreel")}
        assert len(modules - own) <= MAX_LIBRARY_MODULES[role], (role, modules - own)
        assert len(own) <= MAX_OWN_MODULES[role], (role, len(own))
