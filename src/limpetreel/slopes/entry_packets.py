"""Processor time of an entry per packet over UDP."""

from __future__ import annotations

import asyncio
import hashlib
import socket
import time

import xxhash

from limpetreel.catalog import node_identity, role
from limpetreel.entry import entry_core, entry_shell
from limpetreel.node import node_link
from limpetreel.settings import entry_settings
from limpetreel.slopes import gauge, sample_site, slope
from limpetreel.wire import address, frame_codec

KEY = b"measurement cluster key"
LOOPBACK = "127.0.0.1"
BURST = 64
"""Datagrams that wait in the socket at a time; an entry under load drains as many."""
TYPICAL_BYTES = 200
LEASE_MS = 2_000
START_SECONDS = 0.2


def slopes(bursts: int) -> list[slope.Slope]:
    """Return processor time per packet of an entry and of a bare loop.

    Parameters
    ----------
    bursts : int
        Bursts of `BURST` datagrams of which the cheapest one counts.
    """
    whole = asyncio.run(_entry_points(bursts))
    floor = {float(size): _floor_us(size, bursts) for size in (16, 256, 1024)}
    unit = "us processor time per packet"
    per = "datagram bytes"
    return [
        slope.fit("entry.packet", per, unit, whole, TYPICAL_BYTES),
        slope.fit("entry.packet_floor", per, unit, floor, TYPICAL_BYTES),
    ]


async def _entry_points(bursts: int) -> dict[float, float]:
    sink = _bound_socket()
    free = _bound_socket()
    port = free.getsockname()[1]
    free.close()
    frames = _bound_socket()
    listen = frames.getsockname()
    frames.close()
    cfg = entry_settings.EntrySettings(
        name="entry",
        zone="zone-0",
        region="east",
        listen=listen,
        control=(sink.getsockname(),),
        cluster_key=KEY,
        service_ip=LOOPBACK,
        trace_every=0,
    )
    ident = node_identity.NodeIdentity(
        "entry", role.Role.ENTRY, "", "zone-0", "east", listen[0], listen[1], 1
    )
    control = [address.from_socket(sink.getsockname())]
    link = node_link.NodeLink(ident, control, 1)
    _fill(link, port, sink.getsockname())
    core = entry_core.EntryCore(link, address.from_socket(listen), 0)
    codec = frame_codec.FrameCodec(KEY, link.node_id, 1)
    shell = entry_shell.EntryShell(cfg, core, codec)
    stopped = asyncio.Event()
    # An entry opens its class sockets only while it holds a lease.
    link.right.renew(time.monotonic(), LEASE_MS)
    task = asyncio.create_task(shell.serve(stopped))
    await asyncio.sleep(START_SECONDS)
    callers = [_bound_socket() for _ in range(BURST)]
    points = {}
    for size in (16, 256, 1024):
        points[float(size)] = await _burst_us(link, callers, port, size, bursts, sink)
    stopped.set()
    await task
    for sock in (sink, *callers):
        sock.close()
    return points


def _fill(link: node_link.NodeLink, port: int, agent_at: tuple[str, int]) -> None:
    """Give the entry one class with some agents, all at one address."""
    found = sample_site.classes(1)[0]
    fields = {f: getattr(found, f) for f in found.__struct_fields__}
    items = [*sample_site.zones(), type(found)(**{**fields, "port": port})]
    for i in range(4):
        agent = sample_site.agent(i, 0)
        values = {f: getattr(agent, f) for f in agent.__struct_fields__}
        host, agent_port = agent_at
        items.append(type(agent)(**{**values, "host": host, "port": agent_port}))
    link.table.replace(items, 5_000, 5_000)


async def _burst_us(
    link: node_link.NodeLink,
    callers: list[socket.socket],
    port: int,
    size: int,
    bursts: int,
    sink: socket.socket,
) -> float:
    data = bytes(size)
    best = float("inf")
    for _ in range(bursts):
        link.right.renew(time.monotonic(), LEASE_MS)
        for sock in callers:
            sock.sendto(data, (LOOPBACK, port))
        started = time.process_time()
        # The first turn of the loop polls the sockets, the second one reads them.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        spent = time.process_time() - started
        forwarded = _drain(sink, size)
        if forwarded >= BURST:
            best = min(best, spent / BURST)
    return best * gauge.MICROSECONDS


def _floor_us(size: int, bursts: int) -> float:
    """Return the cost of a loop that receives, hashes and sends."""
    receiver, sink = _bound_socket(), _bound_socket()
    callers = [_bound_socket() for _ in range(BURST)]
    where, to = receiver.getsockname(), sink.getsockname()
    mac = hashlib.blake2b(key=KEY, digest_size=8)
    data = bytes(size)
    best = float("inf")
    for _ in range(bursts):
        for sock in callers:
            sock.sendto(data, where)
        started = time.process_time()
        for _ in range(BURST):
            found, source = receiver.recvfrom(65_535)
            xxhash.xxh64_intdigest(source[0].encode())
            tag = mac.copy()
            tag.update(found)
            receiver.sendto(found + tag.digest(), to)
        best = min(best, (time.process_time() - started) / BURST)
        _drain(sink, size)
    for sock in (receiver, sink, *callers):
        sock.close()
    return best * gauge.MICROSECONDS


def _drain(sink: socket.socket, size: int) -> int:
    """Return how many datagrams of at least a size have arrived."""
    count = 0
    while True:
        try:
            count += len(sink.recv(65_535)) >= size
        except BlockingIOError:
            return count


def _bound_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind((LOOPBACK, 0))
    return sock
