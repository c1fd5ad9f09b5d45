"""Randomized soak test of open flows with real processes.

`LIMPETREEL_SOAK_SEED`, `LIMPETREEL_SOAK_SECONDS` and `LIMPETREEL_SOAK_AGENTS` (in each
of three data centres) set the run; `make soak-flows` runs many seeds by hand.
"""

from __future__ import annotations

import asyncio
import os
import tempfile

from tests import fixtures
from tests.soak import flow_rule, flow_soak

load_tests = fixtures.load_functions(globals())

SEED = int(os.environ.get("LIMPETREEL_SOAK_SEED", "1"))
SECONDS = float(os.environ.get("LIMPETREEL_SOAK_SECONDS", "25"))
AGENTS = int(os.environ.get("LIMPETREEL_SOAK_AGENTS", "4"))


def run(has_faults):
    """Return the soak after its run."""
    with tempfile.TemporaryDirectory() as folder:
        soak = flow_soak.FlowSoak(folder, SEED, AGENTS, has_faults)
        asyncio.run(soak.run(SECONDS))
    return soak


def check(soak):
    """Check the rule first, then that callers were served at all."""
    broken = flow_rule.FlowRule(soak.site).broken()
    assert not broken, "\n".join(broken)
    answered = soak.outcomes.get("answered", 0)
    assert answered > 0.5 * sum(soak.outcomes.values()), soak.outcomes
    assert not soak.outcomes.get("foreign"), soak.outcomes


def test_no_sound_flow_is_reset_or_moved_by_planned_work():
    """Guards against resets of flows while agents, entries and control restart late."""
    check(run(has_faults=False))


def test_no_sound_flow_is_reset_or_moved_by_faults():
    """Guards against resets of flows of machines that no fault has touched."""
    check(run(has_faults=True))
