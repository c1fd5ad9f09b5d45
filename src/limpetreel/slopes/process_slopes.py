"""Slopes of real processes of each role."""

from __future__ import annotations

import os
import pathlib
import selectors
import socket
import subprocess
import sys
import tempfile
import time
from concurrent import futures
from typing import TYPE_CHECKING

from limpetreel.catalog import member_record, role
from limpetreel.console import operator_client
from limpetreel.core import failure
from limpetreel.messages import delta, lease, renew
from limpetreel.slopes import child, design_size, sample_site, slope
from limpetreel.wire import frame, frame_codec, kind, message_codec

if TYPE_CHECKING:
    from collections.abc import Mapping

CLUSTER_KEY = "measurement-cluster-key"
OPERATOR_KEY = "measurement-operator-key"
LOOPBACK = "127.0.0.1"
RENEW_INTERVAL_SECONDS = 0.5
MEASURED_SECONDS = 4.0
PARALLEL_COMMANDS = 16
START_TIMEOUT_SECONDS = 30.0
"""Long enough for a process to start on a busy machine."""
SETTLE_SECONDS = 8.0
"""An entry waits up to 3 s and then fetches the full table at 64 KB/s."""
AGENT_CLASS = "class-own"
"""Class of the agent process, with no other member: it would ask members that have
no process for their state ten times per second."""
QUICK_SETTLE_SECONDS = 1.0


def slopes(
    scales: tuple[float, float, float], quick: bool, scratch: pathlib.Path
) -> list[slope.Slope]:
    """Return memory and processor time of each role as a process.

    One control instance, one entry and one agent run as processes. The other nodes
    of the site exist only as lease renewals that this process sends twice a second.

    Parameters
    ----------
    scales : tuple of float
        Ratios of the design size at which to measure.
    quick : bool
        Whether to measure for a short time only.
    scratch : pathlib.Path
        Directory for data.
    """
    rows: dict[str, dict[float, float]] = {}
    settle = QUICK_SETTLE_SECONDS if quick else SETTLE_SECONDS
    seconds = 1.0 if quick else MEASURED_SECONDS
    for scale in scales:
        nodes = float(round(design_size.NODES * scale))
        with tempfile.TemporaryDirectory(dir=scratch) as folder:
            site = _ProcessSite(pathlib.Path(folder), scale, settle)
            try:
                figures = site.measure(seconds)
            finally:
                site.stop()
        for key, value in figures.items():
            rows.setdefault(key, {})[nodes] = value
    return [
        slope.fit(f"process.{name}", "nodes", unit, points, design_size.NODES)
        for (name, _, unit), points in (
            (tuple(key.partition("|")), points) for key, points in rows.items()
        )
    ]


class _ProcessSite:
    """Runs one process of each role and sends the renewals of all other nodes."""

    def __init__(
        self, folder: pathlib.Path, scale: float, settle_seconds: float
    ) -> None:
        self._folder = folder
        self._settle_seconds = settle_seconds
        self._processes_by_role: dict[str, subprocess.Popen[bytes]] = {}
        self._ports = _free_ports(6)
        self._members = [
            r
            for r in sample_site.records(scale)
            if isinstance(r, member_record.MemberRecord)
        ]
        self._class_count = max(1, round(design_size.CLASSES * scale))
        self._codecs = {
            m.name: frame_codec.FrameCodec(
                CLUSTER_KEY.encode(), m.node_id, m.incarnation
            )
            for m in self._members
        }
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        self._sock.bind((LOOPBACK, 0))
        self._sock.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._sock, selectors.EVENT_READ)
        self._nonce = 0
        self._announce_at = 0.0
        self._answers = 0
        self._delta_bytes = 0
        self._revision = self._digest = 0

    def measure(self, seconds: float) -> dict[str, float]:
        """Start the site and return measured values by name and unit."""
        self._start_control()
        self._create()
        self._renew_for(self._settle_seconds / 4)
        self._start_nodes()
        self._renew_for(self._settle_seconds)
        before = {
            name: _cpu_seconds(p.pid) for name, p in self._processes_by_role.items()
        }
        self._answers = self._delta_bytes = 0
        sent = self._renew_for(seconds)
        figures: dict[str, float] = {}
        for name, proc in self._processes_by_role.items():
            cpu_seconds = _cpu_seconds(proc.pid) - before[name]
            figures[f"{name}_resident|MB (VmRSS)"] = child.vm_rss_mb(proc.pid)
            figures[f"{name}_processor|% of a core"] = 100 * cpu_seconds / seconds
        figures["renewals_answered|part of those sent"] = self._answers / max(1, sent)
        return figures

    def stop(self) -> None:
        """Terminate the started processes."""
        for proc in self._processes_by_role.values():
            proc.terminate()
        for proc in self._processes_by_role.values():
            proc.wait()
        self._selector.close()
        self._sock.close()

    def _start_control(self) -> None:
        nodes, operators, peers = self._ports[:3]
        data = self._folder / "data"
        listed = f"control={LOOPBACK}:{peers}"
        program = [sys.executable, "-m", "limpetreel"]
        subprocess.run(
            [
                *program,
                "init",
                f"--data={data}",
                "--name=control",
                f"--new-cluster={listed}",
            ],
            check=True,
            capture_output=True,
        )
        self._start(
            "control",
            "--name=control",
            "--zone=zone-0",
            f"--listen={LOOPBACK}:{nodes}",
            f"--operator-listen={LOOPBACK}:{operators}",
            f"--peer-listen={LOOPBACK}:{peers}",
            f"--peers={listed}",
            f"--data={data}",
            "--class-ports=20000-29999",
            f"--cluster-key={CLUSTER_KEY}",
            f"--operator-key={OPERATOR_KEY}",
        )

    def _create(self) -> None:
        client = operator_client.OperatorClient(
            ((LOOPBACK, self._ports[1]),), OPERATOR_KEY.encode()
        )
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while isinstance(client.call({"type": "table"}), failure.Failure):
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f"control did not answer within {START_TIMEOUT_SECONDS:g} s"
                )
            time.sleep(0.1)
        for zone in sample_site.zones():
            fields = {"region": getattr(zone, "region", "")}
            self._command(client, "zone_create", zone.name, fields)
        names = [AGENT_CLASS, *(f"class-{i:05}" for i in range(self._class_count))]
        targets = {"capacity": 1000, "answer_ms": 500}
        with futures.ThreadPoolExecutor(PARALLEL_COMMANDS) as pool:
            list(
                pool.map(
                    lambda n: self._command(client, "class_create", n, targets), names
                )
            )

    def _command(
        self,
        client: operator_client.OperatorClient,
        kind_name: str,
        name: str,
        fields: Mapping[str, object],
    ) -> None:
        body = {"type": kind_name, "name": name, "expected": 0}
        client.call({**body, "command_id": f"create-{name}", **fields})

    def _start_nodes(self) -> None:
        control = f"--control={LOOPBACK}:{self._ports[0]}"
        common = ["--zone=zone-0", "--region=east", control]
        common.append(f"--cluster-key={CLUSTER_KEY}")
        self._start(
            "entry",
            "--name=entry-process",
            f"--listen={LOOPBACK}:{self._ports[3]}",
            "--service-ip=127.0.0.77",
            *common,
        )
        self._start(
            "agent",
            "--name=agent-process",
            f"--listen={LOOPBACK}:{self._ports[4]}",
            f"--class-name={AGENT_CLASS}",
            f"--upstream={LOOPBACK}:9",
            f"--announce={LOOPBACK}:{self._ports[5]}",
            *common,
        )

    def _start(self, role_name: str, *arguments: str) -> None:
        with (self._folder / f"{role_name}.log").open("wb") as log:
            self._processes_by_role[role_name] = subprocess.Popen(
                [sys.executable, "-m", "limpetreel", role_name, *arguments],
                stdout=log,
                stderr=log,
            )

    def _renew_for(self, seconds: float) -> int:
        """Renew each node twice a second, evenly spread; return the renewals sent."""
        begin = time.monotonic()
        rate = len(self._members) / RENEW_INTERVAL_SECONDS
        sent = 0
        while (elapsed := time.monotonic() - begin) < seconds:
            due = int(elapsed * rate)
            # Limited, so that a pause of this process does not cause a burst.
            for number in range(max(sent, due - 50), due):
                self._renew(self._members[number % len(self._members)])
            sent = max(sent, due)
            self._announce()
            if self._selector.select(0.002):
                self._receive()
        return sent

    def _renew(self, record: member_record.MemberRecord) -> None:
        self._nonce += 1
        message = renew.Renew(
            record.name,
            record.role,
            record.class_name,
            record.zone,
            record.region,
            record.host,
            record.port,
            record.incarnation,
            self._revision,
            self._digest,
            600 if record.role is role.Role.AGENT else 0,
            False,
            False,
            self._nonce,
        )
        data = self._codecs[record.name].encode(
            kind.Kind.MESSAGE, frame.ANY_INCARNATION, message_codec.encode(message)
        )
        self._sock.sendto(data, (LOOPBACK, self._ports[0]))

    def _announce(self) -> None:
        """Announce the upstream of the agent once per second."""
        if (
            time.monotonic() < self._announce_at
            or "agent" not in self._processes_by_role
        ):
            return
        self._announce_at = time.monotonic() + 1.0
        body = b'\xff{"class":"class-own","run_id":"run","state":"ready"}'
        self._sock.sendto(body, (LOOPBACK, self._ports[5]))

    def _receive(self) -> None:
        while True:
            try:
                data = self._sock.recv(65_535)
            except BlockingIOError:
                return
            except OSError:
                continue
            body = data[frame.HEADER.size : -frame.TAG_BYTES]
            message = message_codec.decode(body)
            if isinstance(message, lease.Lease):
                self._answers += 1
                self._revision = message.revision
            elif isinstance(message, delta.Delta):
                self._delta_bytes += len(data)


def _cpu_seconds(pid: int) -> float:
    """Return user and system time of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _free_ports(count: int) -> list[int]:
    """Return ports that are free for both TCP and UDP."""
    sockets_by_port: dict[int, list[socket.socket]] = {}
    while len(sockets_by_port) < count:
        pair = [
            socket.socket(socket.AF_INET, socket_type)
            for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        ]
        pair[0].bind((LOOPBACK, 0))
        port = pair[0].getsockname()[1]
        try:
            pair[1].bind((LOOPBACK, port))
        except OSError:
            pair[0].close()
            pair[1].close()
            continue
        sockets_by_port[port] = pair
    for sock in (s for pair in sockets_by_port.values() for s in pair):
        sock.close()
    return list(sockets_by_port)
