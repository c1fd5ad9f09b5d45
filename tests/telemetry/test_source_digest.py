"""Tests of the digest of the programs."""

from __future__ import annotations

import os
import pathlib
import py_compile
import tempfile
from unittest import mock

from limpetreel.telemetry import source_digest
from tests import fixtures

load_tests = fixtures.load_functions(globals())

FILES = {"__init__.py": "A = 1\n", "part/__init__.py": "", "part/one.py": "B = 2\n"}


def digest(files, mtime=1_600_000_000, in_steps=False):
    """Return the digest of a package with some files."""
    with tempfile.TemporaryDirectory() as folder:
        for name, text in files.items():
            path = pathlib.Path(folder) / name
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
            os.utime(path, (mtime, mtime))
        py_compile.compile(f"{folder}/__init__.py")
        result = source_digest.SourceDigest(folder)
        if in_steps:
            for _ in result.compute_in_steps():
                pass
        return str(result)


def test_same_files_have_the_same_digest():
    """Guards against a digest that differs between machines with one release."""
    expected = digest(FILES)
    assert len(expected) == 16
    for order in (sorted(FILES), sorted(FILES, reverse=True)):
        with mock.patch.object(source_digest, "_source_files", lambda _, x=order: x):
            assert digest(FILES) == expected
    assert digest(FILES, mtime=1_700_000_000) == expected
    assert digest(FILES, in_steps=True) == expected
    assert digest({**FILES, "part/notes.txt": "x"}) == expected


def test_other_files_have_another_digest():
    """Guards against two releases that cannot be told apart."""
    others = (
        {**FILES, "__init__.py": "A = 2\n"},
        {**FILES, "part/two.py": ""},
        {"__init__.py": "A = 1\n", "part/__init__.py": "B = 2\n", "part/one.py": ""},
        {
            **{k: v for k, v in FILES.items() if "one" not in k},
            "part/six.py": "B = 2\n",
        },
    )
    digests = [digest(FILES), *map(digest, others)]
    assert len(set(digests)) == len(digests), digests


def test_digest_is_computed_in_small_steps():
    """Guards against packets that wait while all sources are read."""
    with tempfile.TemporaryDirectory() as folder:
        for number in range(5 * source_digest.FILES_PER_STEP):
            (pathlib.Path(folder) / f"m{number}.py").write_text("")
        result = source_digest.SourceDigest(folder)
        assert sum(1 for _ in result.compute_in_steps()) == 5
        assert str(result) == str(result)
