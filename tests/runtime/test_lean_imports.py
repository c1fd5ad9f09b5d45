"""Modules whose import is deferred must work as if they had been imported."""

from __future__ import annotations

import os
import subprocess
import sys

from tests import fixtures

load_tests = fixtures.load_functions(globals())

PROGRAM = """
from limpetreel.runtime import lean_imports
lean_imports.import_asyncio()
import asyncio, inspect, logging, sys, uuid
import msgspec
assert "_ssl" not in sys.modules
assert type(sys.modules["asyncio.sslproto"]).__name__ == "_DeferredModule"
async def fail():
    raise ValueError("text of the error")
async def main():
    task = asyncio.create_task(fail())
    await asyncio.wait([task])
    logging.getLogger("asyncio").error("failed", exc_info=task.exception())
    return repr(task)
assert "ValueError" in asyncio.run(main())
assert inspect.iscoroutinefunction(fail)
from inspect import signature
assert str(signature(fail)) == "()"
lean_imports.import_deferred()
import eliot
import platform, ssl, traceback
assert platform.system() == "Linux" and platform.python_version()
assert ssl.SSLContext and sys.modules["traceback"].format_exc
from asyncio import sslproto
assert sslproto.SSLProtocol is sys.modules["asyncio.sslproto"].SSLProtocol
assert msgspec.toml.decode("a = 1") == {"a": 1}
assert msgspec.json.schema(int) == {"type": "integer"}
assert msgspec.inspect.type_info(int) == msgspec.inspect.IntType()
"""


def test_deferred_modules_work_when_they_are_used():
    """Guards against a role that ends in the import that an error message needs."""
    env = {"PYTHONPATH": os.pathsep.join(sys.path)}
    words = [sys.executable, "-S", "-c", PROGRAM]
    done = subprocess.run(words, env=env, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr
    assert "text of the error" in done.stderr
    assert "line 9, in fail" in done.stderr
