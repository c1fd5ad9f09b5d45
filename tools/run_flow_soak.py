"""Run the soak of open flows with many seeds, some at a time.

Odd seeds have planned work only, even ones faults as well. The number of agents follows
from the seed unless it is given. Records and logs of runs that break the rule are kept.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
MIN_AGENTS, MAX_AGENTS = 4, 20
"""Agents in each of three data centres."""
TIME_LIMIT_SECONDS = 600


def run_one(folder: pathlib.Path, seed: int, agents: int, seconds: float) -> int:
    """Run one seed in this process; print its result and return the exit code."""
    import asyncio

    sys.path.insert(0, str(ROOT))
    from tests.soak import flow_rule, flow_soak

    def log(machine, role):
        return (folder / f"{machine.name}-{role}.log").open("ab")

    soak = flow_soak.FlowSoak(folder, seed, agents, seed % 2 == 0, log)
    asyncio.run(soak.run(seconds))
    broken = flow_rule.FlowRule(soak.site).broken()
    kind = "faults" if seed % 2 == 0 else "planned work"
    print(
        f"seed {seed}, {3 * agents} agents, {kind}: {len(broken)} broken, "
        f"{soak.outcomes}",
        *broken[:10],
        sep="\n  ",
    )
    return 1 if broken else 0


def run_seed(args: argparse.Namespace, seed: int) -> int:
    """Run one seed in a process of its own; return its exit code."""
    agents = args.agents or MIN_AGENTS + seed * 7 % (MAX_AGENTS - MIN_AGENTS + 1)
    folder = args.folder / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    words = [sys.executable, __file__, "--one", str(seed), "--agents", str(agents)]
    words += ["--folder", str(folder), "--seconds", str(args.seconds)]
    result = subprocess.run(
        words, capture_output=True, text=True, timeout=TIME_LIMIT_SECONDS
    )
    print(result.stdout, end="", flush=True)
    if result.returncode == 0:
        shutil.rmtree(folder)
    elif not result.stdout:
        print(f"seed {seed} did not run:\n{result.stderr[-2000:]}", flush=True)
    return result.returncode


def main() -> int:
    """Run the seeds and return whether any of them broke the rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=60, help="length of a run")
    parser.add_argument("--agents", type=int, default=0, help="in each data centre")
    parser.add_argument("--jobs", type=int, default=3, help="runs at a time")
    parser.add_argument("--folder", type=pathlib.Path, required=True)
    parser.add_argument("--one", type=int, default=None, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one is not None:
        return run_one(args.folder, args.one, args.agents, args.seconds)
    seeds = range(args.first, args.first + args.seeds)
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        codes = list(pool.map(lambda seed: run_seed(args, seed), seeds))
    failed = [seed for seed, code in zip(seeds, codes, strict=True) if code]
    print(f"{len(seeds) - len(failed)} seeds held, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
