"""The list of deliberate faults must follow the code."""

from __future__ import annotations

import pathlib

from tests import fixtures
from tests.control import mutants

ROOT = pathlib.Path(__file__).resolve().parents[2]


def test_each_fault_applies_to_one_place():
    """Guards against a fault that no longer changes the code it is meant for."""
    for name, file, old, new, _ in mutants.MUTANTS:
        text = (ROOT / file).read_text()
        assert text.count(old) == 1, name
        assert old != new, name


load_tests = fixtures.load_functions(globals())
