"""Resident memory of a child process that holds a given state."""

from __future__ import annotations

import pathlib
import subprocess
import sys


def resident_mb(kind: str, scale: float) -> float:
    """Return the resident memory of a child process that holds a state.

    Parameters
    ----------
    kind : str
        Kind of state, as in `child_states.build`.
    scale : float
        Size of the state as a ratio of the design size.
    """
    arguments = [sys.executable, "-m", "limpetreel.slopes", "--hold", kind, str(scale)]
    completed = subprocess.run(arguments, check=True, capture_output=True, text=True)
    return float(completed.stdout)


def vm_rss_mb(pid: int | str) -> float:
    """Return VmRSS of a process in MB (10^6 bytes)."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(ln for ln in text.splitlines() if ln.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024 / 1e6
