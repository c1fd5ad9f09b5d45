"""Measurements of request admission, with bounds and a baseline."""

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

    LimiterFactory = Callable[[int], concurrency_limiter.ConcurrencyLimiter]

STEADY_LOAD = scenario.Scenario(load=0.7, warm_up_seconds=90.0, measured_seconds=30.0)
DOUBLE_LOAD = scenario.Scenario(load=2.0, warm_up_seconds=15.0, measured_seconds=15.0)
COLD_PHASES = scenario.Scenario(
    load=0.7, warm_up_seconds=20.0, measured_seconds=60.0, has_cold_phases=True
)

MAX_IMBALANCE = 1.25
MAX_COLD_OVERLOAD_RATIO = 0.0
MIN_IN_TIME_RATIO = 0.99
MIN_GOODPUT_RATIO = 0.9


def measure_admission(
    seed: int, limiter_factory: LimiterFactory = gradient_limiter.GradientLimiter
) -> list[measurement.Measurement]:
    """Run the admission policy and the baseline on both deployments.

    Parameters
    ----------
    seed : int
        Seed of the upstreams, the requests and the faults.
    limiter_factory : callable
        Creates a limiter, given the upper bound of its limit.
    """
    measurements: list[measurement.Measurement] = []
    for spec in (deployment.THREE_ZONES, deployment.FOUR_ZONES):
        measurements.extend(_measure(spec, seed, limiter_factory))
    return measurements


def _measure(
    spec: deployment.Deployment, seed: int, limiter_factory: LimiterFactory
) -> list[measurement.Measurement]:
    steady, steady_hash = _run_both(spec, STEADY_LOAD, seed, limiter_factory)
    double, double_hash = _run_both(spec, DOUBLE_LOAD, seed, limiter_factory)
    cold, cold_hash = _run_both(spec, COLD_PHASES, seed, limiter_factory)
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
            MIN_IN_TIME_RATIO,
            steady_hash.in_time_ratio(),
        ),
        (
            "goodput_ratio_at_double_load",
            double.goodput_ratio(),
            MIN_GOODPUT_RATIO,
            double_hash.goodput_ratio(),
        ),
        (
            "answered_in_time_ratio_with_cold_phases",
            cold.in_time_ratio(),
            None,
            cold_hash.in_time_ratio(),
        ),
    ]
    policy_ratios, baseline_ratios = _cold_ratios(cold), _cold_ratios(cold_hash)
    for name, value in policy_ratios.items():
        bound = MAX_COLD_OVERLOAD_RATIO if name in _BOUNDED_COLD_RATIOS else None
        rows.append((name, value, bound, baseline_ratios[name]))
    return [
        measurement.Measurement(
            f"admission_{name}",
            round(value, 4),
            "ratio",
            bound,
            round(baseline, 4),
            seed,
            spec.name,
        )
        for name, value, bound, baseline in rows
    ]


_BOUNDED_COLD_RATIOS = ("cold_overload_ratio", "cold_overload_ratio_after_sign")


def _cold_ratios(run: admission_run.AdmissionRun) -> dict[str, float]:
    """Return the ratios of cold phases in which the upstream was overloaded."""
    phases = run.cold_phases()
    announced = [p for p in phases if p.is_announced]
    unannounced = [p for p in phases if not p.is_announced]
    return {
        "cold_overload_ratio": _mean([p.is_overloaded for p in phases]),
        "cold_overload_ratio_announced": _mean([p.is_overloaded for p in announced]),
        "cold_overload_ratio_silent": _mean([p.is_overloaded for p in unannounced]),
        "cold_overload_ratio_after_sign": _mean(
            [p.is_overloaded_when_detectable for p in phases]
        ),
    }


def _mean(values: list[bool]) -> float:
    return sum(values) / len(values) if values else 0.0


def _run_both(
    spec: deployment.Deployment,
    workload: scenario.Scenario,
    seed: int,
    limiter_factory: LimiterFactory,
) -> tuple[admission_run.AdmissionRun, admission_run.AdmissionRun]:
    """Run the admission policy and the baseline on the same input."""
    profiles = spec.profiles(seed)
    arrivals = workload.arrivals(spec, profiles, seed)
    policy_run = admission_run.AdmissionRun(spec, workload, profiles, arrivals, seed)
    policy_run.run(
        lambda upstream_transport: admission_policy.AdmissionPolicy(
            spec, upstream_transport, admission_run.ANSWER_SECONDS, limiter_factory
        )
    )
    baseline_run = admission_run.AdmissionRun(spec, workload, profiles, arrivals, seed)
    baseline_run.run(functools.partial(hash_policy.HashPolicy, spec))
    return policy_run, baseline_run
