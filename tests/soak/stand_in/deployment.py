"""A small deployment on loopback: the platform, its router and its operator.

Three zones. Each has an `edge` machine with the roles `control` and `entry` and a
number of `side` machines with the role `agent`. Every role is a process of its own, run
with the command of deploy/system.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

from tests.soak.stand_in import ends

ROOT = pathlib.Path(__file__).resolve().parents[3]
ZONES = ("zone-a", "zone-b", "zone-c")
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 3000,
    "GraceS": 6,
    "LossSlackMs": 200,
    "ConfigApplyMs": 3000,
    "RollbackSlackMs": 250,
    "MaxSkewMs": 12000,
    "WarmupOvershoot": 1.5,
    "WarmupSlack": 5,
    "EvacuationMs": 5000,
    "RecoveryS": 12,
    "ReorderWindowMs": 2000,
    "MaxFlowS": 60,
}


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Machine:
    """One machine of the platform."""

    def __init__(self, site, name, kind, ip, zone, service=""):
        self.site, self.name, self.kind, self.ip = site, name, kind, ip
        self.zone, self.service = zone, service
        self.outbound = (ip, site.port["outbound"])
        self.roles = {}
        self.is_first_start = True


class Site:
    """The deployment.

    Parameters
    ----------
    folder : path
        Folder of the case, which gets record.txt.
    services : dict
        Number of side machines in each zone, by service.
    stdout : callable or None
        Returns the file for the output of a role of a machine.
    entries : int
        Number of edge machines in each zone; the first of them runs control too.
    command : tuple of str
        Program and arguments before those of the role.
    """

    heartbeat_s = 1.2

    def __init__(
        self,
        folder,
        services,
        stdout=None,
        entries=1,
        command=("python3", "-S", "-m", "limpetreel"),
    ):
        self.case = pathlib.Path(folder)
        self.command = command
        # Without site packages, the programs come from the build of the deploy file.
        self.is_built = "-S" in command
        self.record = (self.case / "record.txt").open("w")
        self.started = time.monotonic()
        self.tmp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.SystemRandom().randrange(40, 200)}"
        self.stdout = stdout
        self.machines, self.targets, self.clients = [], [], []
        self.notes = []
        # Time, target and whether it holds the flow, for each packet of each flow.
        self.arrivals = {}
        self._tasks = []
        self.ready = set()
        self.version = 0
        self._choose_ports()
        for index, zone in enumerate(ZONES):
            for number in range(1, entries + 1):
                ip = f"{self.net}.{index + 1}.{9 + number}"
                self.machines.append(
                    Machine(self, f"edge-{zone}-{number}", "edge", ip, zone)
                )
            number = 0
            for service, count in services.items():
                for _ in range(count):
                    number += 1
                    ip = f"{self.net}.{index + 1}.{20 + number}"
                    self.machines.append(
                        Machine(
                            self, f"side-{zone}-{number}", "side", ip, zone, service
                        )
                    )
        self.edges = [m for m in self.machines if m.kind == "edge"]
        self.controls = [m for m in self.edges if m.name.endswith("-1")]
        self.sides = [m for m in self.machines if m.kind == "side"]

    def _choose_ports(self):
        base = random.SystemRandom().randrange(20000, 30000, 32)
        names = ("ready", "control", "udp", "outbound", "app")
        self.internal = (base, base + 15)
        self.port = {name: base + 16 + i for i, name in enumerate(names)}

    def _check_ports(self):
        for machine in self.machines:
            for port in (self.internal[0], self.internal[0] + 1, *self.port.values()):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    try:
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((machine.ip, port))
                    except OSError as exc:
                        raise CannotRunError(f"{machine.ip}:{port} is in use") from exc

    def seconds(self):
        """Return the time of the record."""
        return time.monotonic() - self.started

    def note(self, what, **fields):
        """Write one line of the record."""
        at = self.seconds()
        self.notes.append((at, what, fields))
        rest = " ".join(f"{k}={v}" for k, v in fields.items())
        self.record.write(f"{at:8.3f} {what} {rest}\n")
        self.record.flush()

    # Processes

    def _settings(self, machine, role):
        p = self.port
        listen = {"Ready": p["ready"]}
        serves = {"entry": ["edge"], "control": ["control_plane"], "agent": ["side"]}[
            role
        ]
        if role == "control":
            listen = {"Control": p["control"]}
        elif role == "entry":
            listen = {"UdpListen": p["udp"], "Ready": p["ready"]}
        else:
            listen = {
                "UdpListen": p["udp"],
                "outbound": p["outbound"],
                "Ready": p["ready"],
                "Control": p["control"],
            }
        lines = [
            f'NodeName = "{machine.name}"',
            f'Role = "{role}"',
            f'MachineClass = "{machine.kind}"',
            f"Serves = {json.dumps(serves)}",
            f'Ip = "{machine.ip}"',
            f'Zone = "{machine.zone}"',
            'Region = "region"',
            f"InternalPortRange = [{self.internal[0]}, {self.internal[1]}]",
            "SeedNodes = "
            + json.dumps([f"{m.ip}:{p['control']}" for m in self.controls]),
            f"Bootstrap = {str(role not in machine.roles).lower()}",
            f"InTolerance = {str(machine.kind == 'edge').lower()}",
        ]
        if role == "control":
            lines.append(f'DataDir = "{self.tmp}/{machine.name}"')
        lines += [
            'Discovery = "local"',
            'EntryKind = "announcement"',
            f"HeartbeatMs = {int(self.heartbeat_s * 1000)}",
            'Contracts = ["base","drain","config","cost","recover","flows","places"]',
            'config_mode = "highest"',
            'Hash = "steady"',
            'ForwardingMode = "agent"',
        ]
        if role == "agent":
            lines += [
                f'app = "{machine.ip}:{p["app"]}"',
                f'Backend = "{machine.service}"',
            ]
        lines.append("[Zones]")
        lines += [f'{zone} = "region"' for zone in ZONES]
        lines.append("[ListenAddrs]")
        lines += [f'{name} = "{machine.ip}:{port}"' for name, port in listen.items()]
        lines += [
            "[Limits]",
            "CpuShare = 1.0",
            "CpuCores = 1",
            "MemoryMb = 300",
            "MaxFds = 4100",
            "LinkMbps = 1000.0",
            "DiskMb = 64",
            "[FaultTolerance]",
            "Machines = 1",
            "Zones = 1",
            "Regions = 0",
            "[Bounds]",
        ]
        lines += [f"{name} = {value}" for name, value in BOUNDS.items()]
        path = self.tmp / f"{machine.name}-{role}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self, machine, role):
        """Start a role with the command of the deploy file."""
        path = self._settings(machine, role)
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["LIMPETREEL_CONFIG"] = str(path)
        if self.is_built:
            env["PYTHONPATH"] = "target/deps"
        out = self.stdout(machine, role) if self.stdout else None
        log = out or (self.tmp / f"{machine.name}-{role}.log").open("ab")
        machine.roles[role] = await asyncio.create_subprocess_exec(
            *self.command,
            "platform",
            role,
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        if out is None:
            log.close()
        self.note("start", machine=machine.name, role=role)

    async def kill(self, machine, role, number=signal.SIGKILL):
        """Send a signal that ends a role, and wait for its end."""
        process = machine.roles[role]
        process.send_signal(number)
        self.note("signal", machine=machine.name, role=role, number=int(number))
        code = await process.wait()
        self.note("end", machine=machine.name, role=role, code=code)

    async def start_all(self, targets=True, **options):
        """Start everything and wait until the system is ready."""
        if self.is_built and not (ROOT / "target/deps/limpetreel").is_dir():
            raise CannotRunError("target/deps is not built")
        self._check_ports()
        loop = asyncio.get_running_loop()
        for machine in self.sides:
            _, target = await loop.create_datagram_endpoint(
                lambda machine=machine: ends.Target(self, machine, **options),
                local_addr=(machine.ip, self.port["app"]),
            )
            self.targets.append(target)
            await target.serve_health()
        for index, zone in enumerate(ZONES):
            _, client = await loop.create_datagram_endpoint(
                lambda index=index, zone=zone: ends.Client(
                    self, f"{self.net}.{index + 1}.200", zone
                ),
                local_addr=(f"{self.net}.{index + 1}.200", self.port["udp"]),
            )
            self.clients.append(client)
        for machine in self.controls:
            await self.start(machine, "control")
        for machine in self.edges:
            await self.start(machine, "entry")
        for machine in self.sides:
            await self.start(machine, "agent")
        if targets:
            for target in self.targets:
                target.start()
        self._tasks.append(loop.create_task(self._probe()))

    async def stop(self):
        """End all processes and remove the temporary folder."""
        for task in self._tasks:
            task.cancel()
        for target in self.targets:
            if target.is_up:
                target.crash()
        processes = [p for m in self.machines for p in m.roles.values()]
        for process in processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in processes:
            await process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.tmp)
        else:
            shutil.rmtree(self.tmp, ignore_errors=True)

    # Router

    async def _probe(self):
        misses = {m.ip: 2 for m in self.edges}
        while True:
            answers = await asyncio.gather(
                *(self.call(m.ip, "GET", "/readyz", port="ready") for m in self.edges)
            )
            for machine, (status, _) in zip(self.edges, answers, strict=True):
                misses[machine.ip] = 0 if status == 200 else misses[machine.ip] + 1
                if misses[machine.ip] == 0:
                    self.ready.add(machine.ip)
                elif misses[machine.ip] >= 2:
                    self.ready.discard(machine.ip)
            await asyncio.sleep(0.5)

    def route(self, packet, zone):
        """Return the entry for a packet: rendezvous over the nodes in rotation."""
        nodes = [m for m in self.edges if m.ip in self.ready and m.zone == zone]
        nodes = nodes or [m for m in self.edges if m.ip in self.ready]
        nodes = nodes or self.edges
        text = repr(packet.key())
        return max(
            nodes, key=lambda m: hashlib.blake2s((m.ip + text).encode()).digest()
        )

    # Calls

    async def call(self, ip, method, path, body=b"", port="control"):
        """Send a call; status 0 without a response within a second."""
        writer = None
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(ip, self.port[port])
                head = (
                    f"{method} {path} HTTP/1.1\r\nHost: {ip}\r\n"
                    "Connection: close\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                response = await reader.read(-1)
                head, _, rest = response.partition(b"\r\n\r\n")
                status = int(head.split()[1])
                location = [
                    line.split(b": ")[1]
                    for line in head.split(b"\r\n")
                    if line.lower().startswith(b"location: ")
                ]
                return status, (location[0].decode() if location else rest)
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0, b""
        finally:
            if writer is not None:
                writer.close()

    async def order(self, method, path, body=b"", seconds=5.0):
        """Send an order of the operator until it has a clear response."""
        until = time.monotonic() + seconds
        pause = 0.1
        while time.monotonic() < until:
            for machine in random.sample(self.controls, len(self.controls)):
                ip = machine.ip
                for _ in range(3):
                    status, rest = await self.call(ip, method, path, body)
                    if status != 307:
                        break
                    ip = rest.split("//")[1].split(":")[0]
                if status == 200 or 400 <= status < 500:
                    self.note("order", path=path, status=status, bytes=len(body))
                    return status, rest
            await asyncio.sleep(pause)
            pause = min(1.0, 2 * pause)
        self.note("order", path=path, status="none")
        return 0, b""

    def document(self, routes, services, version=None):
        """Return the next desired state."""
        self.version = version or self.version + 3
        return {
            "Version": self.version,
            "Routes": routes,
            "Backends": services,
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }

    async def replace(self, document, seconds=5.0):
        """Send a desired state."""
        return await self.order(
            "POST", "/Config.Replace", json.dumps(document).encode(), seconds
        )

    async def wait_ready(self, seconds=15.0):
        """Wait until all entries are in rotation."""
        until = time.monotonic() + seconds
        while len(self.ready) < len(self.edges):
            if time.monotonic() > until:
                raise CannotRunError("the entries did not get ready")
            await asyncio.sleep(0.2)


def route(name, host, port, service, kind="idempotent", timeout_ms=2000):
    """Return a route."""
    return {
        "Name": name,
        "Host": host,
        "PathPrefix": f"/{port}/",
        "Type": kind,
        "TimeoutMs": timeout_ms,
        "AimMs": 200,
        "Priority": 1,
        "Backend": service,
        "MaxAttempts": 2,
    }


def service(name, slow_start_s=2.0, warmup_per_s=0.0):
    """Return a service."""
    return {
        "Name": name,
        "HealthCheckPath": "/healthz",
        "MaxConnections": 2000,
        "Protocol": "h1",
        "Tls": False,
        "SlowStartS": slow_start_s,
        "WarmupPerS": warmup_per_s,
    }


def main(case):
    """Run a case; the exit code is 1 if the rule was broken, 2 without a result."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # The processes that the case has started are ended on SIGTERM, too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        broken = asyncio.run(case(has_trouble))
    except CannotRunError as exc:
        print(f"cannot run: {exc}")
        sys.exit(2)
    except Exception as exc:
        print(f"cannot run: {exc!r}")
        if os.environ.get("DEBUG"):
            raise
        sys.exit(2)
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
