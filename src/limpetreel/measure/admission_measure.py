"""Measurement of the admission: figures, bounds and baseline."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from limpetreel.admission import gradient_limiter
from limpetreel.measure import (
    admission_policy,
    admission_run,
    deployment,
    hash_policy,
    measurement,
    scenario,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from limpetreel.admission import concurrency_limiter

    MakeLimiter = Callable[[int], concurrency_limiter.ConcurrencyLimiter]

STEADY = scenario.Scenario(load=0.7, warm_up_seconds=90.0, measured_seconds=30.0)
DOUBLE = scenario.Scenario(load=2.0, warm_up_seconds=15.0, measured_seconds=15.0)
COLD = scenario.Scenario(
    load=0.7, warm_up_seconds=20.0, measured_seconds=60.0, has_cold_phases=True
)

MAX_IMBALANCE = 1.25
MAX_COLD_OVERLOAD = 0.0
MIN_IN_TIME = 0.99
MIN_GOODPUT = 0.9


def measure_admission(
    seed: int, make_limiter: MakeLimiter = gradient_limiter.GradientLimiter
) -> list[measurement.Measurement]:
    """Run the policy and the baseline on both deployments.

    Parameters
    ----------
    seed : int
        Seed of the upstreams, the requests and the faults.
    make_limiter : callable
        Makes a limiter from the upper bound of its limit.
    """
    made: list[measurement.Measurement] = []
    for size in (deployment.THREE_ZONES, deployment.FOUR_ZONES):
        made.extend(_measure(size, seed, make_limiter))
    return made


def _measure(
    size: deployment.Deployment, seed: int, make_limiter: MakeLimiter
) -> list[measurement.Measurement]:
    steady, steady_hash = _run_both(size, STEADY, seed, make_limiter)
    double, double_hash = _run_both(size, DOUBLE, seed, make_limiter)
    cold, cold_hash = _run_both(size, COLD, seed, make_limiter)
    rows: list[tuple[str, float, float | None, float]] = [
        (
            "imbalance_max_over_mean",
            steady.imbalance(),
            MAX_IMBALANCE,
            steady_hash.imbalance(),
        ),
        (
            "answered_in_time_ratio",
            steady.in_time_ratio(),
            MIN_IN_TIME,
            steady_hash.in_time_ratio(),
        ),
        (
            "goodput_ratio_at_double_load",
            double.goodput_ratio(),
            MIN_GOODPUT,
            double_hash.goodput_ratio(),
        ),
        (
            "answered_in_time_ratio_with_cold_phases",
            cold.in_time_ratio(),
            None,
            cold_hash.in_time_ratio(),
        ),
    ]
    ours, theirs = _cold_ratios(cold), _cold_ratios(cold_hash)
    for name, value in ours.items():
        bound = MAX_COLD_OVERLOAD if name in _BOUNDED_COLD else None
        rows.append((name, value, bound, theirs[name]))
    return [
        measurement.Measurement(
            f"admission_{n}", round(v, 4), "ratio", b, round(o, 4), seed, size.name
        )
        for n, v, b, o in rows
    ]


_BOUNDED_COLD = ("cold_overload_ratio", "cold_overload_ratio_after_sign")


def _cold_ratios(run: admission_run.AdmissionRun) -> dict[str, float]:
    """Return the parts of the cold phases in which the upstream got too much."""
    phases = run.phases()
    announced = [p for p in phases if p.is_announced]
    silent = [p for p in phases if not p.is_announced]
    return {
        "cold_overload_ratio": _mean([p.is_overloaded for p in phases]),
        "cold_overload_ratio_announced": _mean([p.is_overloaded for p in announced]),
        "cold_overload_ratio_silent": _mean([p.is_overloaded for p in silent]),
        "cold_overload_ratio_after_sign": _mean(
            [p.is_overloaded_after_sign for p in phases]
        ),
    }


def _mean(values: list[bool]) -> float:
    return sum(values) / len(values) if values else 0.0


def _run_both(
    size: deployment.Deployment,
    load: scenario.Scenario,
    seed: int,
    make_limiter: MakeLimiter,
) -> tuple[admission_run.AdmissionRun, admission_run.AdmissionRun]:
    """Run the policy and the baseline on the same input."""
    profiles = size.profiles(seed)
    arrivals = load.arrivals(size, profiles, seed)
    ours = admission_run.AdmissionRun(size, load, profiles, arrivals, seed)
    ours.run(
        lambda out: admission_policy.AdmissionPolicy(
            size, out, admission_run.ANSWER_SECONDS, make_limiter
        )
    )
    theirs = admission_run.AdmissionRun(size, load, profiles, arrivals, seed)
    theirs.run(functools.partial(hash_policy.HashPolicy, size))
    return ours, theirs
