"""Processes of a small site on loopback."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Sequence

ZONES = ("north", "middle", "south")
PUBLIC_IP = "127.0.0.1"
CLUSTER_KEY = "demonstration-cluster-key"
OPERATOR_KEY = "demonstration-operator-key"
LOG_TAIL_CHARS = 2000
STOP_TIMEOUT_SECONDS = 20.0
TRACE_FILE = "spans.jsonl"
DECISION_LOG = "decisions.log"
PORTS_PER_SITE = 1000
"""Number of ports reserved for one site, from its base port on."""
CLASS_PORTS = (500, 599)
"""First and last port of the classes, from the base port on."""
USED_PORTS = CLASS_PORTS[1] + 1


class Site:
    """Starts and stops the processes of a demonstration.

    Parameters
    ----------
    program : sequence of str
        Command line that starts the program.
    folder : pathlib.Path
        Folder for logs and data.
    base_port : int
        First of the ports that the site uses.
    """

    def __init__(
        self, program: Sequence[str], folder: pathlib.Path, base_port: int
    ) -> None:
        self._program = tuple(program)
        self._folder = folder
        self._base_port = base_port
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self.class_ports = (base_port + CLASS_PORTS[0], base_port + CLASS_PORTS[1])
        self._upstreams: dict[str, int] = {}

    @property
    def operator_flags(self) -> list[str]:
        """Flags that operator commands need to connect to control."""
        ports = [self._base_port + 3 * i + 1 for i in range(len(ZONES))]
        addresses = ",".join(f"127.0.0.1:{p}" for p in ports)
        return [
            f"--operator={addresses}",
            f"--operator-key={OPERATOR_KEY}",
        ]

    async def start_control(self) -> None:
        """Start one control instance per zone."""
        first, last = self.class_ports
        ports = {
            f"control-{zone}": self._base_port + 3 * i for i, zone in enumerate(ZONES)
        }
        peers = ",".join(f"{n}=127.0.0.1:{p + 2}" for n, p in ports.items())
        for zone, (name, port) in zip(ZONES, ports.items(), strict=True):
            data = self._folder / "data" / name
            await self._run(
                "init", f"--data={data}", f"--name={name}", f"--new-cluster={peers}"
            )
            await self._start(
                name,
                "control",
                f"--name={name}",
                f"--zone={zone}",
                f"--listen=127.0.0.1:{port}",
                f"--operator-listen=127.0.0.1:{port + 1}",
                f"--peer-listen=127.0.0.1:{port + 2}",
                f"--peers={peers}",
                f"--data={data}",
                f"--class-ports={first}-{last}",
                f"--cluster-key={CLUSTER_KEY}",
                f"--operator-key={OPERATOR_KEY}",
            )

    async def start_entries(self) -> list[str]:
        """Start one entry per zone and return their IP addresses."""
        ips = []
        for i, zone in enumerate(ZONES):
            ip = f"127.0.1.{i + 1}"
            ips.append(ip)
            await self._start(
                f"entry-{zone}",
                "entry",
                *self._node_flags(f"entry-{zone}", zone, f"{ip}:{self._base_port}"),
                f"--service-ip={ip}",
                "--trace-every=50",
            )
        return ips

    async def start_upstream(
        self, class_name: str, number: int, zone: str, slots: int
    ) -> None:
        """Start an upstream and the agent beside it."""
        name = f"{class_name}-{number}"
        port = self._base_port + 10 + 4 * len(self._upstreams)
        self._upstreams[name] = port
        announce = f"127.0.0.1:{port + 1}"
        await self._start(
            f"agent-{name}",
            "agent",
            *self._node_flags(f"agent-{name}", zone, f"127.0.0.1:{port + 2}"),
            f"--class-name={class_name}",
            f"--upstream=127.0.0.1:{port}",
            f"--announce={announce}",
        )
        await self._start(
            name,
            "stand-in",
            "upstream",
            f"--name={name}",
            f"--class-name={class_name}",
            f"--listen=127.0.0.1:{port}",
            f"--agent={announce}",
            f"--slots={slots}",
        )

    async def start_fabric(
        self, ports: Sequence[int], entry_ips: Sequence[str], seed: int
    ) -> None:
        """Start the stand-in for the fabric."""
        await self._start(
            "fabric",
            "stand-in",
            "fabric",
            f"--public-ip={PUBLIC_IP}",
            f"--seed={seed}",
            *(f"--port={p}" for p in ports),
            *(f"--entry-ip={ip}" for ip in entry_ips),
        )

    def find_files(self, name: str) -> list[pathlib.Path]:
        """Return the files with a name in the data folders of the processes."""
        return sorted((self._folder / "data").glob(f"*/{name}"))

    def ended_processes(self) -> dict[str, str]:
        """Return the ends of the logs of processes that have exited, by name."""
        return {
            name: (self._folder / f"{name}.log").read_text()[-LOG_TAIL_CHARS:]
            for name, proc in self._processes.items()
            if proc.returncode is not None
        }

    @property
    def upstream_ports(self) -> dict[str, int]:
        """Ports of the upstreams by name."""
        return dict(self._upstreams)

    async def run_operator_command(self, *args: str) -> tuple[int, str]:
        """Run an operator command and return exit code and output."""
        return await self._run(*args, *self.operator_flags)

    async def run_command(self, *args: str) -> tuple[int, str]:
        """Run a command that does not connect to control."""
        return await self._run(*args)

    async def _run(self, *args: str) -> tuple[int, str]:
        proc = await asyncio.create_subprocess_exec(
            *self._program,
            *args,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        out, _ = await proc.communicate()
        return proc.returncode or 0, out.decode().strip()

    async def stop(self) -> list[str]:
        """Stop all processes; return those that did not exit with code 0."""
        failed = []
        for name in reversed(list(self._processes)):
            proc = self._processes[name]
            if proc.returncode is None:
                proc.send_signal(signal.SIGTERM)
        for name, proc in self._processes.items():
            try:
                code = await asyncio.wait_for(proc.wait(), STOP_TIMEOUT_SECONDS)
            except TimeoutError:
                proc.kill()
                await proc.wait()
                code = -1
            if code != 0:
                failed.append(f"{name} ({code})")
        return failed

    def _node_flags(self, name: str, zone: str, listen: str) -> list[str]:
        ports = [self._base_port + 3 * i for i in range(len(ZONES))]
        controls = ",".join(f"127.0.0.1:{p}" for p in ports)
        return [
            f"--name={name}",
            f"--zone={zone}",
            f"--listen={listen}",
            f"--control={controls}",
            f"--data={self._folder / 'data' / name}",
            f"--trace-file={TRACE_FILE}",
            f"--decision-log={DECISION_LOG}",
            f"--cluster-key={CLUSTER_KEY}",
        ]

    async def _start(self, name: str, *args: str) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        with (self._folder / f"{name}.log").open("wb") as log:
            self._processes[name] = await asyncio.create_subprocess_exec(
                *self._program, *args, stdout=log, stderr=log
            )
