"""Measure the cost of the decision log per event of an entry and an agent.

Alternates runs of the same events with and without a recorder in one process and
prints the medians.
"""

from __future__ import annotations

import pathlib
import random
import statistics
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tests import builders  # noqa: E402
from tests.replay import test_replay  # noqa: E402

from limpetreel.replay import recorder  # noqa: E402
from limpetreel.telemetry import rotating_file  # noqa: E402

ROUNDS = 21
PACKETS = 5000


class _UnsampledRandom(random.Random):
    """Source of random bits that samples no answer of the run for a trace."""

    def getrandbits(self, k):
        return 0 if k == 1 else super().getrandbits(k)


def _run(role, folder, is_recorded, trace_every):
    """Return the processor time in seconds and the number of events of one run."""
    name, cfg, make_filter, run_events = role
    changes = {"trace_every": trace_every} if name == "entry" else {}
    core = builders.core(cfg(**changes), name)
    events = 0
    log = None
    if is_recorded:
        header = builders.log_header(cfg(**changes), name)
        file = rotating_file.RotatingFile(folder / "decisions", 64_000_000)
        log = recorder.Recorder(file, header, core, make_filter(core))

    def record(now, event, actions):
        nonlocal events
        events += 1
        if log is not None:
            log.record(now, event, actions)

    started_at = time.process_time()
    run_events(core, record, PACKETS, _UnsampledRandom(1))
    cpu_seconds = time.process_time() - started_at
    if log is not None:
        log.close()
    return cpu_seconds, events


def main() -> int:
    """Print the cost of the decision log for each role."""
    cases = (
        ("agent, every event", test_replay.ROLES[1], 0),
        ("entry, one packet of 1000 sampled", test_replay.ROLES[0], 1000),
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for title, role, trace_every in cases:
            without, recorded = [], []
            for _ in range(ROUNDS):
                cpu_seconds, events = _run(role, folder, False, trace_every)
                without.append(cpu_seconds / events * 1e6)
                cpu_seconds, _ = _run(role, folder, True, trace_every)
                recorded.append(cpu_seconds / events * 1e6)
            size = (folder / "decisions").stat().st_size / events
            before, after = statistics.median(without), statistics.median(recorded)
            cost = f"{after - before:.2f} µs ({before:.2f} to {after:.2f})"
            print(f"{title}: {cost}, {size:.0f} bytes per event")
    return 0


if __name__ == "__main__":
    sys.exit(main())
