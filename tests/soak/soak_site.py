"""Real programs on loopback, with upstreams, callers and an operator in this process.

Faults come from outside the programs: signals to them, and crashes of upstreams.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import sys

from limpetreel.platform import paths, segment_format
from limpetreel.streams import stream_key
from tests.cluster import control_group
from tests.streams import stream_site

CODEC = segment_format.SegmentFormat()
NETWORK_PREFIX = f"127.{64 + os.getpid() % 128}"
"""Differs between concurrent runs, since the port of the metrics is fixed."""
CONTROLS = tuple(f"{NETWORK_PREFIX}.1.{i}" for i in (1, 2, 3))
ENTRIES = tuple(f"{NETWORK_PREFIX}.2.{i}" for i in (1, 2))
AGENTS = tuple(f"{NETWORK_PREFIX}.3.{i}" for i in (1, 2, 3))
ZONES = ("zone-a", "zone-b", "zone-c")
CALLER = f"{NETWORK_PREFIX}.9.1"
HEARTBEAT_SECONDS = 0.6
STARTUP_SECONDS = 2.0
"""Time to load a program on a busy machine; an idle one takes 0.3 s."""
SERVICE_SECONDS = 0.005
REQUEST_TIMEOUT_SECONDS = 1.4
EVACUATION_SECONDS = 5.0
"""Bound of the platform: a zone that is out gets no packets after this time."""
APPLY_SECONDS = 3.0
"""Bound of the platform: no older configuration is read after this time."""


class Upstream(asyncio.DatagramProtocol):
    """Upstream that answers each request with the text of the request."""

    def __init__(self, site, index):
        self.site, self.index = site, index
        self.start, self.sequence = 1, itertools.count(1)
        self.flows, self.runs = {}, {}
        self.flows_opened_at = []
        self.is_up = True

    def connection_made(self, transport):
        """Take the transport."""
        self.transport = transport

    def datagram_received(self, data, address):
        """Handle a packet from the agent."""
        if not self.is_up:
            return
        segment = CODEC.from_caller(data)
        if segment.is_open:
            self.flows_opened_at.append(self.site.now())
            first = self.flows.setdefault(
                segment.flow, self.site.random.getrandbits(31)
            )
            self.send(segment.flow, stream_site.SYN_ACK, first)
        elif segment.flow not in self.flows:
            returned_packet = bytes((data[0] | stream_site.BOUNCED,)) + data[1:]
            self.transport.sendto(returned_packet, self.site.outbound(self.index))
        elif segment.size:
            text = data[-segment.size :]
            self.runs[text] = self.runs.get(text, 0) + (segment.flow not in self.runs)
            self.runs[segment.flow] = 1
            answer = (segment.flow, stream_site.ACK, self.flows[segment.flow] + 1, text)
            asyncio.get_running_loop().call_later(SERVICE_SECONDS, self.send, *answer)

    def send(self, flow, flags, seq, data=b""):
        """Send a packet through the agent."""
        packet = stream_site.make_packet(flow, flags, seq, 0, data, from_caller=False)
        if self.is_up:
            self.transport.sendto(packet, self.site.outbound(self.index))

    def crash(self):
        """Drop all flows and restart."""
        self.start += 1
        self.sequence, self.flows = itertools.count(1), {}

    async def announce_periodically(self):
        """Announce the upstream to its agent until cancelled."""
        while True:
            body = {
                "Backend": "s-1",
                "Address": f"{AGENTS[self.index]}:{self.site.base_port + 8}",
                "Zone": ZONES[self.index],
                "Version": "v1",
                "MaxConcurrency": 4,
                "State": "ready",
                "WarmupLeftMs": 0,
                "Sequence": next(self.sequence),
                "born": self.start,
            }
            path = f"{paths.ANNOUNCE}i-{self.index}-{self.start}"
            if self.is_up:
                host = AGENTS[self.index]
                await self.site.call(host, "POST", path, json.dumps(body).encode())
            await asyncio.sleep(HEARTBEAT_SECONDS)


class Callers(asyncio.DatagramProtocol):
    """All callers, which share one address."""

    def __init__(self, site):
        self.site = site
        self.pending = {}
        self.foreign_answers = []

    def connection_made(self, transport):
        """Take the transport."""
        self.transport = transport

    def datagram_received(self, data, address):
        """Handle an upstream's packet for the caller of its flow."""
        segment = CODEC.from_upstream(data)
        request = self.pending.get(segment.flow)
        if request is None or request[0].done():
            return
        done, text = request
        if segment.is_reset:
            done.set_result("refused")
        elif segment.is_open_reply:
            ack = (segment.sequence + 1) & 0xFFFFFFFF
            self.send(segment.flow, stream_site.ACK, 1, ack, text)
        elif segment.size:
            if not data.endswith(text):
                self.foreign_answers.append(text)
            done.set_result("answered")

    def send(self, flow, flags, seq=0, ack=0, data=b""):
        """Send a packet to the entry that the fabric would select."""
        packet = stream_site.make_packet(flow, flags, seq, ack, data)
        host = self.site.entry_of(flow)
        self.transport.sendto(packet, (host, self.site.base_port + 4))

    async def request(self, number):
        """Send one request on a new flow and return its outcome."""
        key = stream_key.pack(CALLER, 1024 + number % 60000)
        flow = key + stream_key.pack(stream_site.HOST, stream_site.PORT)
        done = asyncio.get_running_loop().create_future()
        self.pending[flow] = (done, f"request-{number}".encode())
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                for pause in (0.2, 0.4, 2.0):
                    self.send(flow, stream_site.SYN)
                    with contextlib.suppress(TimeoutError):
                        return await asyncio.wait_for(asyncio.shield(done), pause)
        except TimeoutError:
            return "lost"
        finally:
            self.pending.pop(flow, None)
        return "lost"


class SoakSite:
    """Programs, their faults, and a record of what callers and the operator have seen.

    Parameters
    ----------
    seed : int
        Seed of the faults.
    folder : pathlib.Path
        Folder for settings, data and logs.
    """

    def __init__(self, seed, folder):
        self.random = random.Random(seed)
        self.folder = pathlib.Path(folder)
        self.base_port = _find_base_port()
        self.processes = {}
        self.started_at = {}
        self.paused_seconds = {}
        self.version = 0
        self.acknowledged = []
        self.zone_outages = []
        self.stale_reads = []
        self.outcomes = {}
        self.ready = set(ENTRIES)
        self.unexpected_exits = []

    def now(self):
        """Return the time of the event loop."""
        return asyncio.get_running_loop().time()

    def outbound(self, index):
        """Return the address to which an upstream sends its packets."""
        return (AGENTS[index], self.base_port + 7)

    def entry_of(self, flow):
        """Return the entry that the fabric selects; ready entries are preferred."""
        hosts = sorted(self.ready) or list(ENTRIES)
        return hosts[flow[5] % len(hosts)]

    async def call(self, host, method, path, body=b"", port=6):
        """Send an HTTP request; return status 0 without an answer within a second."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    host, self.base_port + port
                )
                head = f"{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                size = f"Content-Length: {len(body)}\r\n\r\n"
                writer.write((head + size).encode() + body)
                response = await reader.read(-1)
                writer.close()
                return int(response.split()[1]), response.partition(b"\r\n\r\n")[2]
        except (OSError, TimeoutError, IndexError):
            return 0, b""

    async def start(self, role, host):
        """Start a program."""
        name = f"{role}-{host}"
        index = {"control": CONTROLS, "entry": ENTRIES, "agent": AGENTS}[role]
        path = self._write_settings(role, host, ZONES[index.index(host)])
        env = {**os.environ, "LIMPETREEL_CONFIG": str(path)}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "limpetreel", "platform", role),
                env=env,
                stdout=log,
                stderr=log,
            )
        self.started_at[name] = self.now()
        self.paused_seconds[name] = 0.0

    def _write_settings(self, role, host, zone):
        base = self.base_port
        path = self.folder / f"{role}-{host}.toml"
        is_first = not path.exists()
        data = f'DataDir = "{self.folder}/{host}"\n' if role == "control" else ""
        seeds = ", ".join(f'"{c}:{base + 6}"' for c in CONTROLS)
        zones = "".join(f'{z} = "r"\n' for z in ZONES)
        path.write_text(
            f'NodeName = "{role}-{host}"\nRole = "{role}"\nIp = "{host}"\n'
            f'Zone = "{zone}"\nInternalPortRange = [{base}, {base + 3}]\n'
            f"SeedNodes = [{seeds}]\nBootstrap = {str(is_first).lower()}\n{data}"
            f'HeartbeatMs = {int(HEARTBEAT_SECONDS * 1000)}\nBackend = "s-1"\n'
            f'app = "{host}:{base + 8}"\n[Zones]\n{zones}'
            f'[ListenAddrs]\nUdpListen = "{host}:{base + 4}"\n'
            f'Ready = "{host}:{base + 5}"\nControl = "{host}:{base + 6}"\n'
            f'outbound = "{host}:{base + 7}"\n'
        )
        return path

    async def probe_entries(self):
        """Probe the readiness of the entries twice a second."""
        misses = dict.fromkeys(ENTRIES, 0)
        while True:
            for host in ENTRIES:
                status, _ = await self.call(host, "GET", paths.READY, port=5)
                misses[host] = 0 if status == 200 else misses[host] + 1
                if not misses[host]:
                    self.ready.add(host)
                elif misses[host] >= 2:
                    self.ready.discard(host)
            await asyncio.sleep(0.5)

    async def send_command(self, path, body=b""):
        """Send a command to the control instances until one acknowledges it."""
        for _ in range(60):
            for host in self.random.sample(CONTROLS, len(CONTROLS)):
                status, _ = await self.call(host, "POST", path, body)
                if status == 200:
                    return True
            await asyncio.sleep(0.2)
        return False

    async def replace_configuration(self):
        """Replace the configuration by the next version."""
        self.version += 1
        document = control_group.make_document(self.version)
        if await self.send_command(paths.REPLACE_CONFIGURATION, document):
            self.acknowledged.append((self.now(), self.version))

    async def check_configuration(self):
        """Read the configuration from a random instance and record a stale version."""
        versions = [v for at, v in self.acknowledged if at < self.now() - APPLY_SECONDS]
        host = self.random.choice(CONTROLS)
        status, body = await self.call(host, "GET", paths.READ_CONFIGURATION)
        if status == 200 and json.loads(body)["Version"] < max(versions, default=0):
            self.stale_reads.append((host, body))

    async def take_zone_out(self, seconds):
        """Take a zone out and bring it back after a time."""
        index = self.random.randrange(len(ZONES))
        if await self.send_command(paths.TAKE_ZONE_OUT + ZONES[index]):
            out_at = self.now()
            await asyncio.sleep(seconds)
            self.zone_outages.append((index, out_at + EVACUATION_SECONDS, self.now()))
            await self.send_command(paths.TAKE_ZONE_IN + ZONES[index])

    async def inject_fault(self):
        """Inject one fault into a random program and undo it."""
        name = self.random.choice(sorted(self.processes))
        role, _, host = name.partition("-")
        proc = self.processes[name]
        if proc.returncode is not None:
            self.record_exit(name, proc.returncode)
            await self.start(role, host)
            return
        kind = self.random.choice(("kill", "stop", "pause", "pause", "restart"))
        if kind == "pause":
            proc.send_signal(signal.SIGSTOP)
            paused_at = self.now()
            await asyncio.sleep(self.random.uniform(0.2, 3.0))
            with contextlib.suppress(ProcessLookupError):
                proc.send_signal(signal.SIGCONT)
            self.paused_seconds[name] += self.now() - paused_at
            return
        proc.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
        code = await proc.wait()
        if kind != "kill" and code != 0:
            self.record_exit(name, code)
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        await self.start(role, host)

    def record_exit(self, name, code):
        """Record an exit that was not graceful, with the age of the process.

        SIGTERM that arrives while the interpreter still loads the program ends it at
        once, before it serves anything (seed 2); such an exit is allowed. A program
        that is paused at its start does not load meanwhile (seed 1).
        """
        age = self.now() - self.started_at[name] - self.paused_seconds[name]
        if code != -signal.SIGTERM or age > STARTUP_SECONDS:
            self.unexpected_exits.append((name, code, round(age, 3)))

    async def load(self, seconds, per_second, request_numbers):
        """Let callers send requests and return the number of each outcome."""
        deadline, tasks = self.now() + seconds, []
        outcome_counts = {}

        async def send_and_count(number):
            result = await self.callers.request(number)
            outcome_counts[result] = outcome_counts.get(result, 0) + 1

        while self.now() < deadline:
            tasks.append(asyncio.create_task(send_and_count(next(request_numbers))))
            await asyncio.sleep(self.random.expovariate(per_second))
        await asyncio.gather(*tasks)
        return outcome_counts

    async def open_sockets(self):
        """Open the sockets of the upstreams and callers."""
        loop = asyncio.get_running_loop()
        self.upstreams = []
        for index, host in enumerate(AGENTS):
            _, upstream = await loop.create_datagram_endpoint(
                lambda index=index: Upstream(self, index),
                local_addr=(host, self.base_port + 8),
            )
            self.upstreams.append(upstream)
        _, self.callers = await loop.create_datagram_endpoint(
            lambda: Callers(self), local_addr=(CALLER, self.base_port + 4)
        )

    async def stop(self):
        """Stop all programs."""
        for proc in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                proc.send_signal(signal.SIGCONT)
                proc.send_signal(signal.SIGTERM)
        for name, proc in self.processes.items():
            try:
                code = await asyncio.wait_for(proc.wait(), 10)
            except TimeoutError:
                proc.kill()
                code = await proc.wait()
            if code != 0:
                self.record_exit(name, code)


def _find_base_port():
    """Return the first port of a free range of sixteen."""
    for base in range(26000, 31000, 16):
        if all(_is_free(host, base) for host in (*CONTROLS, *ENTRIES, *AGENTS, CALLER)):
            return base
    raise OSError("no free range of sixteen ports for the soak")


def _is_free(host, base):
    try:
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
            for port in (0, 1, 4, 5, 6, 7, 8):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((host, base + port))
    except OSError:
        return False
    return True
