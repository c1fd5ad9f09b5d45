"""Tests of the measurements of a simulated site."""

from __future__ import annotations

import contextlib
import io
import json
from unittest import mock

from limpetreel.measure import (
    __main__,
    deployment,
    fake_caller,
    hash_run,
    measurement,
    site_plan,
    site_run,
)
from limpetreel.requests import outcome
from tests import fixtures

SPEC = deployment.Deployment(
    "small", (3,), zones=3, slots=2, connections_per_upstream=10
)
PLAN = site_plan.SitePlan(
    connections_per_upstream=10,
    zone_out_at=2.0,
    zone_in_at=5.0,
    entries_restart_at=6.0,
    drain_at=14.0,
    changes_at=14.0,
    changes=0,
    end=15.0,
)


def _run_hash(seed):
    run = hash_run.HashRun(SPEC, PLAN, seed)
    run.run()
    return run.in_time_ratio(0.0, 15.0), run.broken_flows(), run.imbalance()


def test_baseline_repeats_and_breaks_flows():
    """Guards against a baseline that depends on more than the seed or keeps flows.

    Consistent hashing without a directory must break flows when members change.
    """
    assert _run_hash(3) == _run_hash(3)
    assert _run_hash(3) != _run_hash(4)
    assert _run_hash(3)[1] > 0


def test_planned_restarts_of_entries_cost_no_request():
    """Guards against requests lost at an entry that restarts.

    Packets that reach the restarted entry before it has a table are dropped.
    """
    run = site_run.SiteRun(SPEC, PLAN, 3)
    run.run()
    start = PLAN.entries_restart_at + 0.5
    sent = [r for r in run.requests() if r.sent_at > 9.0 + start]
    late = [r for r in sent if r.received_outcomes and r.answered_at - r.sent_at > 2.0]
    assert len(late) <= 0.01 * len(sent)
    assert run.broken_flows() == run.second_runs() == run.foreign_answers() == 0


def test_retry_of_a_refused_request_is_counted_separately():
    """Guards against refusals that are hidden by the answer to a retry."""
    run = hash_run.HashRun(SPEC, PLAN, 3)
    caller = run.site.add_caller(1)
    retry = fake_caller.CallerRequest(
        "b", True, 11.0, [outcome.Outcome.ANSWERED], 11.1, retries=1
    )
    refused = [outcome.Outcome.NOT_RUN]
    first = fake_caller.CallerRequest("a", True, 9.5, refused, 9.6, retry=retry)
    caller.requests += [first, retry]
    assert run.in_time_ratio(0.0, 5.0) == 0.0
    assert run.in_time_ratio(0.0, 5.0, with_retries=True) == 1.0


def _measure(seed):
    return [measurement.Measurement("m", 1.0, "s", 3.0, None, seed, "d")]


def test_command_prints_one_object_a_line():
    """Guards against output that is not one JSON object per line with all keys."""
    out = io.StringIO()
    patched = mock.patch.object(__main__, "MEASURE_FUNCTIONS", (_measure, _measure))
    with patched, contextlib.redirect_stdout(out):
        assert __main__.main(["--seed", "7"]) == 0
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    keys = ["measure", "value", "unit", "bound", "baseline", "seed", "deployment"]
    assert [list(line) for line in lines] == [keys, keys]
    assert lines[0]["seed"] == 7


load_tests = fixtures.load_functions(globals())
