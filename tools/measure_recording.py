"""Measure what the decision log costs for each event of an entry and an agent.

Runs the same events through a core with and without a recorder, alternately in
one process, and prints the median of several rounds.
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


class _Unsampled(random.Random):
    """Random source with which no answer of the test run is traced."""

    def getrandbits(self, k):
        return 0 if k == 1 else super().getrandbits(k)


def _run(role, folder, is_recorded, trace_every):
    """Return processor seconds and events of one run."""
    name, cfg, choose, drive = role
    changes = {"trace_every": trace_every} if name == "entry" else {}
    target = builders.core(cfg(**changes), name)
    events = 0
    log = None
    if is_recorded:
        first = builders.log_header(cfg(**changes), name)
        file = rotating_file.RotatingFile(folder / "decisions", 64_000_000)
        log = recorder.Recorder(file, first, target, choose(target))

    def record(now, event, actions):
        nonlocal events
        events += 1
        if log is not None:
            log.record(now, event, actions)

    began_at = time.process_time()
    drive(target, record, PACKETS, _Unsampled(1))
    took = time.process_time() - began_at
    if log is not None:
        log.close()
    return took, events


def main() -> int:
    """Print the cost of recording for each role."""
    cases = (
        ("agent, every event", test_replay.ROLES[1], 0),
        ("entry, one packet of 1000 sampled", test_replay.ROLES[0], 1000),
    )
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for title, role, trace_every in cases:
            without, recorded = [], []
            for _ in range(ROUNDS):
                took, events = _run(role, folder, False, trace_every)
                without.append(took / events * 1e6)
                took, _ = _run(role, folder, True, trace_every)
                recorded.append(took / events * 1e6)
            size = (folder / "decisions").stat().st_size / events
            before, after = statistics.median(without), statistics.median(recorded)
            cost = f"{after - before:.2f} µs ({before:.2f} to {after:.2f})"
            print(f"{title}: {cost}, {size:.0f} bytes an event")
    return 0


if __name__ == "__main__":
    sys.exit(main())
