"""Tests of the admission measurement and its fake upstream."""

from __future__ import annotations

from limpetreel.admission import gradient_limiter
from limpetreel.measure import (
    admission_policy,
    admission_run,
    deployment,
    fake_upstream,
    scenario,
    upstream_profile,
)
from tests import fixtures

SPEC = deployment.Deployment(
    "small", (2,), zones=2, slots=2, connections_per_upstream=20
)
WORKLOAD = scenario.Scenario(0.5, 4.0, 4.0, has_cold_phases=True)


def _run(seed):
    profiles = SPEC.profiles(seed)
    arrivals = WORKLOAD.arrivals(SPEC, profiles, seed)
    run = admission_run.AdmissionRun(SPEC, WORKLOAD, profiles, arrivals, seed)
    run.run(
        lambda upstream_transport: admission_policy.AdmissionPolicy(
            SPEC,
            upstream_transport,
            admission_run.ANSWER_SECONDS,
            gradient_limiter.GradientLimiter,
        )
    )
    return run.in_time_ratio(), run.imbalance(), len(run.cold_phases()), run.refused


def test_equal_seeds_give_equal_figures():
    """Guards against results that depend on more than the seed."""
    assert _run(3) == _run(3)
    assert _run(3) != _run(4)


def test_cold_upstream_crashes_on_overload():
    """Guards against an overload in a cold phase that is not recorded.

    A cold upstream runs one request; a second one at once must crash it.
    """
    profile = upstream_profile.UpstreamProfile(4, 0.1, warm_up_seconds=2.0)
    upstream = fake_upstream.FakeUpstream(profile)
    upstream.start(0.0)
    assert upstream.arrive(0.1, 1, 1.0) is fake_upstream.Arrival.ACCEPTED
    assert upstream.arrive(0.1, 2, 1.0) is fake_upstream.Arrival.CRASHED
    assert upstream.cold_phases[0].is_overloaded
    assert not upstream.finish_at
    assert upstream.max_concurrency(2.2) == 4


load_tests = fixtures.load_functions(globals())
