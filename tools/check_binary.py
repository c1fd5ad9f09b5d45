"""Check that dist/limpetreel.pyz runs and starts no child process.

A command runs twice under an audit hook that ends the process before it starts
another; the first run unpacks the archive. Then a control instance runs from the
archive and its child processes are listed.
"""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "dist" / "limpetreel.pyz"
BASE_PORT = 26900
RUN_SECONDS = 3.0
_RUNNER = """
import os, runpy, sys
STARTS = ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.spawn",
          "os.system", "subprocess.Popen", "pty.spawn")
def hook(event, args):
    if event in STARTS:
        print("starts a process:", event, args, file=sys.stderr)
        os._exit(70)
sys.addaudithook(hook)
sys.argv = sys.argv[1:]
runpy.run_path(sys.argv[0], run_name="__main__")
"""


def _environment(folder: str) -> dict[str, str]:
    variables = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
    return {**variables, "SHIV_ROOT": folder}


def check_start(folder: str) -> bool:
    """Run a command twice under the audit hook."""
    command = [sys.executable, "-I", "-c", _RUNNER, str(TARGET), "version"]
    for _ in range(2):
        result = subprocess.run(
            command, env=_environment(folder), capture_output=True, text=True
        )
        print(result.stdout.strip() or result.stderr.strip())
        if result.returncode:
            return False
    return True


def check_role(folder: str) -> bool:
    """Check that a control instance runs and stops without child processes."""
    ports = [f"127.0.0.1:{BASE_PORT + i}" for i in range(3)]
    program = [sys.executable, "-I", str(TARGET)]
    data = f"--data={folder}/data"
    cluster = f"--new-cluster=c1={ports[2]}"
    start = [*program, "init", data, "--name=c1", cluster]
    subprocess.run(start, env=_environment(folder), check=True)
    command = [
        *program,
        "control",
        "--name=c1",
        "--zone=z1",
        f"--listen={ports[0]}",
        f"--operator-listen={ports[1]}",
        f"--peer-listen={ports[2]}",
        data,
        "--cluster-key=cluster key of the check",
        "--operator-key=operator key of the check",
    ]
    proc = subprocess.Popen(command, env=_environment(folder))
    time.sleep(RUN_SECONDS)
    is_running = proc.poll() is None
    children = ""
    if is_running:
        tasks = pathlib.Path(f"/proc/{proc.pid}/task").glob("*/children")
        children = " ".join(path.read_text() for path in tasks).strip()
        proc.send_signal(signal.SIGTERM)
    code = proc.wait(timeout=20)
    print(f"control: running {is_running}, children '{children}', exit code {code}")
    return is_running and not children and code == 0


def main() -> int:
    """Run both checks."""
    with tempfile.TemporaryDirectory(prefix="limpetreel-check-") as folder:
        has_passed = check_start(folder) and check_role(folder)
    return 0 if has_passed else 1


if __name__ == "__main__":
    sys.exit(main())
