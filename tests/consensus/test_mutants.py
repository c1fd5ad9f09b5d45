"""Consistency of the mutants with the source."""

from __future__ import annotations

import pathlib

from tests import fixtures
from tests.consensus import mutants

ROOT = pathlib.Path(__file__).resolve().parents[2]


def test_each_mutant_applies_exactly_once():
    """Guards against a mutant that no longer changes its source file."""
    for name, file, old, new, _ in mutants.MUTANTS:
        text = (ROOT / file).read_text()
        assert text.count(old) == 1, name
        assert old != new, name


load_tests = fixtures.load_functions(globals())
