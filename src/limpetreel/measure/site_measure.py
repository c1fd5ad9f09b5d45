"""Measurements of a simulated site, with bounds and a baseline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.measure import hash_run, measurement, site_plan, site_run

if TYPE_CHECKING:
    from limpetreel.measure import deployment, load_run

    Figures = dict[str, tuple[float, str, float | None]]

SLOW_START_SECONDS = 10.0
"""Initial part of the load during which the slow start is in progress."""

MAX_LAST_PACKET_S = 3.0
MIN_IN_TIME_RATIO = 0.99
MAX_IMBALANCE = 1.25
MAX_EXTRA_HOPS_MEAN = 1.0
MAX_IN_FORCE_S = 13.0


def measure_site(
    spec: deployment.Deployment, seed: int
) -> list[measurement.Measurement]:
    """Run the site and the baseline on the same input.

    Parameters
    ----------
    spec : Deployment
        Simulated deployment.
    seed : int
        Seed of the upstreams, the requests and the network.
    """
    plan = site_plan.SitePlan()
    site = site_run.SiteRun(spec, plan, seed)
    site.run()
    baseline = hash_run.HashRun(spec, plan, seed)
    baseline.run()
    figures, baseline_figures = _figures(site), _figures(baseline)
    figures["change_in_force_max_s"] = (max(site.in_force_s), "s", MAX_IN_FORCE_S)
    return [
        measurement.Measurement(
            name,
            round(value, 4),
            unit,
            bound,
            round(baseline_figures[name][0], 4) if name in baseline_figures else None,
            seed,
            spec.name,
        )
        for name, (value, unit, bound) in figures.items()
    ]


def _figures(run: load_run.LoadRun) -> Figures:
    plan = run.plan
    start, end = plan.zone_out_at, plan.entries_restart_at
    after_start = (SLOW_START_SECONDS, plan.end)
    return {
        "broken_flows": (run.broken_flows(), "flows", 0),
        "imbalance_max_over_mean": (run.imbalance(), "ratio", MAX_IMBALANCE),
        "zone_out_last_packet_s": (run.last_packet_s, "s", MAX_LAST_PACKET_S),
        "answered_in_time_ratio_zone_out_and_in": (
            run.in_time_ratio(start, end),
            "ratio",
            MIN_IN_TIME_RATIO,
        ),
        "answered_in_time_ratio_zone_out_and_in_with_returns": (
            run.in_time_ratio(start, end, with_retries=True),
            "ratio",
            None,
        ),
        "answered_in_time_ratio_first_10_s": (
            run.in_time_ratio(0.0, SLOW_START_SECONDS),
            "ratio",
            None,
        ),
        "answered_in_time_ratio_after_10_s": (
            run.in_time_ratio(*after_start),
            "ratio",
            MIN_IN_TIME_RATIO,
        ),
        "answered_in_time_ratio_after_10_s_with_returns": (
            run.in_time_ratio(*after_start, with_retries=True),
            "ratio",
            None,
        ),
        "cold_overload_ratio": (run.cold_overload_ratio(), "ratio", 0),
        "second_runs": (run.second_runs(), "requests", 0),
        "false_not_run": (run.false_not_run(), "requests", 0),
        "foreign_answers": (run.foreign_answers(), "requests", 0),
        "extra_hops_mean": (run.extra_hops(), "relays/packet", MAX_EXTRA_HOPS_MEAN),
    }
