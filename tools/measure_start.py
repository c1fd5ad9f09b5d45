"""Measure the processor time from the start of an interpreter until a role serves.

Starts each role on the platform several times in turn, as the deploy file does, ends it
as soon as it accepts connections, and prints its user and system time. ``bare`` is the
interpreter alone.

    sh deploy/build.sh && python3 tools/measure_start.py 20 target/deps

With several folders it starts them in turn, since the figures depend on what else
the machine does. Libraries beyond those of the deployment change the figures, as some
import optional ones.
"""

from __future__ import annotations

import os
import pathlib
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time

HOST = f"127.{64 + os.getpid() % 128}.201.1"
"""Concurrent runs use different addresses, since the port of the metrics is fixed."""
BASE_PORT = 24000
POLL_SECONDS = 0.004
START_SECONDS = 20.0
READY_PORT, CONTROL_PORT = BASE_PORT + 5, BASE_PORT + 6
ROLES = {"entry": READY_PORT, "agent": CONTROL_PORT, "control": CONTROL_PORT}


def write_settings(folder: str, role: str, number: int) -> str:
    """Write a settings file and return its path."""
    path = pathlib.Path(folder) / f"{role}.toml"
    data = f'DataDir = "{folder}/data-{number}"\n' if role == "control" else ""
    path.write_text(
        f'NodeName = "{role}-1"\nRole = "{role}"\nIp = "{HOST}"\nZone = "zone-a"\n'
        f"InternalPortRange = [{BASE_PORT}, {BASE_PORT + 3}]\n"
        f'SeedNodes = ["{HOST}:{CONTROL_PORT}"]\nBootstrap = true\n{data}'
        f'Backend = "s-1"\napp = "{HOST}:{BASE_PORT + 8}"\n'
        f'[ListenAddrs]\nUdpListen = "{HOST}:{BASE_PORT + 4}"\n'
        f'Ready = "{HOST}:{READY_PORT}"\nControl = "{HOST}:{CONTROL_PORT}"\n'
        f'outbound = "{HOST}:{BASE_PORT + 7}"\n'
    )
    return str(path)


def wait_until_serving(port: int) -> None:
    """Return once a process accepts connections."""
    until = time.monotonic() + START_SECONDS
    while time.monotonic() < until:
        try:
            socket.create_connection((HOST, port)).close()
        except OSError:
            time.sleep(POLL_SECONDS)
        else:
            return
    raise TimeoutError(f"nothing accepts connections on {HOST}:{port}")


def processor_seconds(words: list[str], env: dict[str, str], port: int) -> float:
    """Return the processor time of one start."""
    process = subprocess.Popen(
        ["python3", "-S", *words],
        env=env,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        if port:
            wait_until_serving(port)
            process.send_signal(signal.SIGKILL)
    finally:
        _, _, usage = os.wait4(process.pid, 0)
        process.returncode = 0
    return usage.ru_utime + usage.ru_stime


def measure(rounds: int, folders: list[str]) -> dict[tuple[str, str], list[float]]:
    """Return the processor times by role and folder."""
    seconds: dict[tuple[str, str], list[float]] = {}
    env = {"PATH": os.environ["PATH"]}
    with tempfile.TemporaryDirectory() as scratch:
        for number in range(rounds * len(folders)):
            libraries = folders[number % len(folders)]
            env["PYTHONPATH"] = libraries
            bare = processor_seconds(["-c", "pass"], env, 0)
            seconds.setdefault(("bare", libraries), []).append(bare)
            for role, port in ROLES.items():
                env["LIMPETREEL_CONFIG"] = write_settings(scratch, role, number)
                words = ["-m", "limpetreel", "platform", role]
                used = processor_seconds(words, env, port)
                seconds.setdefault((role, libraries), []).append(used)
    return seconds


def main() -> None:
    """Measure all roles and print one line for each."""
    rounds, folders = int(sys.argv[1]), sys.argv[2:]
    for (role, folder), values in sorted(measure(rounds, folders).items()):
        print(
            f"{role:8} {folder} mean {statistics.mean(values):.3f} s, "
            f"median {statistics.median(values):.3f}, "
            f"{min(values):.3f} to {max(values):.3f}, {rounds} starts"
        )


if __name__ == "__main__":
    main()
