"""Real control processes on loopback."""

from __future__ import annotations

import contextlib
import io
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import time

import msgspec
import pynng

from limpetreel.console import application
from limpetreel.control import operator_codec
from limpetreel.core import failure

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY = "operator key of the test"
ENV = {
    **os.environ,
    "PYTHONPATH": str(ROOT / "src"),
    "LIMPETREEL_CLUSTER_KEY": "cluster key of the test",
    "LIMPETREEL_OPERATOR_KEY": KEY,
}
DEFINITE = ("applied", "conflict", "refused")


def free_ports(count):
    """Return ports that neither TCP nor UDP uses."""
    held = []
    while len(held) < count:
        tcp, udp = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
        tcp.bind(("127.0.0.1", 0))
        try:
            udp.bind(tcp.getsockname())
        except OSError:
            continue
        held.append((tcp, udp))
    ports = [tcp.getsockname()[1] for tcp, _ in held]
    for pair in held:
        for sock in pair:
            sock.close()
    return ports


class Processes:
    """Three control processes with their folders."""

    def __init__(self, folder):
        self.folder = folder
        self.names = ["c0", "c1", "c2"]
        ports = free_ports(9)
        self.ports = {n: ports[3 * i : 3 * i + 3] for i, n in enumerate(self.names)}
        self.peers = ",".join(f"{n}=127.0.0.1:{p[2]}" for n, p in self.ports.items())
        self.running = {}
        self.codec = operator_codec.OperatorCodec(KEY.encode())
        for name in self.names:
            self.init(name, f"--new-cluster={self.peers}")
            self.start(name)

    def run_program(self, *words):
        command = [sys.executable, "-m", "limpetreel", *words]
        return subprocess.run(
            command, env=ENV, capture_output=True, text=True, check=False, timeout=20
        )

    def init(self, name, option):
        """Run `init` in this process, which avoids the start of another one."""
        words = ["init", f"--data={self.data(name)}", f"--name={name}", option]
        with contextlib.redirect_stdout(io.StringIO()) as out:
            assert application.main(words) == 0
        return int(out.getvalue().split()[-1])

    def data(self, name):
        return self.folder / name

    def start(self, name):
        node, operator, peer = (f"127.0.0.1:{p}" for p in self.ports[name])
        with (self.folder / f"{name}.log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                [
                    *(sys.executable, "-m", "limpetreel", "control"),
                    *(f"--name={name}", "--zone=z", f"--data={self.data(name)}"),
                    *(f"--listen={node}", f"--operator-listen={operator}"),
                    *(f"--peer-listen={peer}", f"--peers={self.peers}"),
                ],
                env=ENV,
                stdout=log,
                stderr=log,
            )

    def kill(self, name):
        self.running[name].kill()
        self.running[name].wait()

    def lose_folder(self, name):
        self.kill(name)
        shutil.rmtree(self.data(name))

    def freeze(self, name):
        self.running[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.running[name].send_signal(signal.SIGCONT)

    def close(self):
        for proc in self.running.values():
            if proc.poll() is None:
                proc.kill()
            proc.wait()

    def log(self, name):
        return (self.folder / f"{name}.log").read_text()

    def ask(self, name, body, seconds=1.0):
        """Return the answer of one instance, None if there is none."""
        limit = int(seconds * 1000)
        try:
            with pynng.Req0(send_timeout=limit, recv_timeout=limit) as sock:
                sock.dial(f"tcp://127.0.0.1:{self.ports[name][1]}", block=False)
                sock.send(self.codec.seal(msgspec.json.encode(body)))
                opened = self.codec.open(sock.recv())
        except pynng.NNGException:
            return None
        return (
            None if isinstance(opened, failure.Failure) else msgspec.json.decode(opened)
        )

    def resend_until_answered(self, body, seconds=10.0):
        """Resend a command until an instance knows its outcome."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for name in self.names:
                if self.running[name].poll() is None:
                    answer = self.ask(name, body, 0.4)
                    if answer is not None and answer["status"] in DEFINITE:
                        return answer
            time.sleep(0.05)
        raise AssertionError("no outcome in time")

    def table(self, seconds=10.0):
        """Return a current read."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for name in self.names:
                if self.running[name].poll() is None:
                    answer = self.ask(name, {"type": "table"}, 0.4)
                    if answer is not None and answer.get("current"):
                        return name, answer
            time.sleep(0.05)
        raise AssertionError("no leader in time")

    def wait_for_voter(self, name, incarnation, seconds=10.0):
        """Wait until a new incarnation votes and the old one does not."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            _, answer = self.table()
            voters = {m["name"]: m["incarnation"] for m in answer["control"]}
            is_voting = all(m["voting"] for m in answer["control"])
            is_complete = len(answer["control"]) == len(self.names)
            if is_voting and is_complete and voters.get(name) == incarnation:
                return
            time.sleep(0.05)
        raise AssertionError("not all vote in time")
