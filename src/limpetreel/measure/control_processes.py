"""CPU and memory of idle processes, as the cost of control for a node."""

from __future__ import annotations

import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

WARM_UP_SECONDS = 3.0
MEASURED_SECONDS = 4.0
NODES = ("entry", "agent")
_FLAGS = ("--cluster-key=cluster key of the measurement",)
_OPERATOR_KEY = "--operator-key=operator key of the measurement"


def measure_nodes() -> list[tuple[float, float]]:
    """Return CPU in percent of a core and resident memory in MB of each node."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        processes: dict[str, subprocess.Popen[bytes]] = {}
        try:
            _start_all(folder, processes)
            time.sleep(WARM_UP_SECONDS)
            begin = time.monotonic()
            before = [_cpu_seconds(processes[node].pid) for node in NODES]
            time.sleep(MEASURED_SECONDS)
            seconds = time.monotonic() - begin
            return [
                (
                    100 * (_cpu_seconds(processes[node].pid) - cpu_before) / seconds,
                    _resident_mb(processes[node].pid),
                )
                for node, cpu_before in zip(NODES, before, strict=True)
            ]
        finally:
            for proc in processes.values():
                proc.kill()
                proc.wait()


def _start_all(
    folder: pathlib.Path, processes: dict[str, subprocess.Popen[bytes]]
) -> None:
    endpoints = [f"127.0.0.1:{port}" for port in _free_ports(7)]
    control, operator, peer, entry, agent, announce, upstream = endpoints
    data = folder / "data"
    peers = f"c={peer}"
    _start_process(
        "init", f"--data={data}", "--name=c", f"--new-cluster={peers}"
    ).wait()
    common = (*_FLAGS, "--zone=z")
    processes["control"] = _start_process(
        *("control", "--name=c", f"--data={data}", f"--listen={control}"),
        *(f"--operator-listen={operator}", f"--peer-listen={peer}"),
        *(f"--peers={peers}", _OPERATOR_KEY, *common),
    )
    processes["entry"] = _start_process(
        *("entry", "--name=e", f"--listen={entry}", f"--control={control}", *common)
    )
    processes["agent"] = _start_process(
        *("agent", "--name=a", f"--listen={agent}", f"--control={control}", *common),
        *("--class-name=bookings", f"--upstream={upstream}", f"--announce={announce}"),
    )


def _start_process(*arguments: str) -> subprocess.Popen[bytes]:
    source = pathlib.Path(__file__).resolve().parents[2]
    return subprocess.Popen(
        [sys.executable, "-m", "limpetreel", *arguments],
        env={**os.environ, "PYTHONPATH": str(source)},
        stdout=subprocess.DEVNULL,
    )


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [int(sock.getsockname()[1]) for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _cpu_seconds(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The fields follow the process name, which may contain spaces.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _resident_mb(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(ln for ln in text.splitlines() if ln.startswith("VmRSS:"))
    return int(line.split()[1]) / 1024
