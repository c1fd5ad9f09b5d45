"""Entry point of ``python -m limpetreel.measure``."""

from __future__ import annotations

import argparse
import concurrent.futures
import functools
import sys
from typing import TYPE_CHECKING

import msgspec

from limpetreel.measure import (
    admission_measure,
    control_measure,
    cost_measure,
    deployment,
    site_measure,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from limpetreel.measure import measurement

    MeasureFunction = Callable[[int], list[measurement.Measurement]]

MEASURE_FUNCTIONS: tuple[MeasureFunction, ...] = (
    functools.partial(site_measure.measure_site, deployment.THREE_ZONES),
    functools.partial(site_measure.measure_site, deployment.FOUR_ZONES),
    admission_measure.measure_admission,
    control_measure.measure_control,
    cost_measure.measure_cost,
)
"""Functions that take a seed and return measurements; each has a worker process."""


def main(arguments: list[str] | None = None) -> int:
    """Print each measurement as one JSON object per line."""
    parser = argparse.ArgumentParser(prog="limpetreel.measure", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="seed of all random input")
    parsed = parser.parse_args(arguments)
    with concurrent.futures.ProcessPoolExecutor(len(MEASURE_FUNCTIONS)) as pool:
        futures = [pool.submit(function, parsed.seed) for function in MEASURE_FUNCTIONS]
        for future in futures:
            for figure in future.result():
                print(msgspec.json.encode(figure).decode(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
