"""The measurement must be repeatable and must see an overload."""

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

SIZE = deployment.Deployment("small", (2,), zones=2, slots=2, connections_each=20)
LOAD = scenario.Scenario(0.5, 4.0, 4.0, has_cold_phases=True)


def _run(seed):
    profiles = SIZE.profiles(seed)
    arrivals = LOAD.arrivals(SIZE, profiles, seed)
    run = admission_run.AdmissionRun(SIZE, LOAD, profiles, arrivals, seed)
    run.run(
        lambda out: admission_policy.AdmissionPolicy(
            SIZE, out, admission_run.ANSWER_SECONDS, gradient_limiter.GradientLimiter
        )
    )
    return run.in_time_ratio(), run.imbalance(), len(run.phases()), run.refused


def test_equal_seeds_give_equal_figures():
    """Guards against figures that cannot be repeated."""
    assert _run(3) == _run(3)
    assert _run(3) != _run(4)


def test_cold_upstream_falls_over_beyond_what_it_bears():
    """Guards against a measurement that misses an overload."""
    profile = upstream_profile.UpstreamProfile(4, 0.1, warm_up_seconds=2.0)
    upstream = fake_upstream.FakeUpstream(profile)
    upstream.start(0.0)
    assert upstream.arrive(0.1, 1, 1.0) is fake_upstream.Arrival.TAKEN
    assert upstream.arrive(0.1, 2, 1.0) is fake_upstream.Arrival.FELL_OVER
    assert upstream.phases[0].is_overloaded
    assert not upstream.finish_at
    assert upstream.bears(2.2) == 4


load_tests = fixtures.load_functions(globals())
