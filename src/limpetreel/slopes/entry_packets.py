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
from limpetreel.slopes import resource_usage, sample_site, slope
from limpetreel.wire import address, frame_codec

KEY = b"measurement cluster key"
LOOPBACK = "127.0.0.1"
BURST_PACKETS = 64
"""Datagrams queued in the socket at once; an entry under load reads as many."""
TYPICAL_PACKET_BYTES = 200
LEASE_MS = 2_000
START_SECONDS = 0.2


def slopes(bursts: int) -> list[slope.Slope]:
    """Return processor time per packet of an entry and of a bare loop.

    Parameters
    ----------
    bursts : int
        Number of bursts of `BURST_PACKETS` datagrams; the cheapest one counts.
    """
    entry_points = asyncio.run(_entry_points(bursts))
    baseline_loop = {
        float(size): _baseline_loop_us(size, bursts) for size in (16, 256, 1024)
    }
    unit = "us processor time per packet"
    per = "datagram bytes"
    return [
        slope.fit("entry.packet", per, unit, entry_points, TYPICAL_PACKET_BYTES),
        slope.fit("entry.packet_floor", per, unit, baseline_loop, TYPICAL_PACKET_BYTES),
    ]


async def _entry_points(bursts: int) -> dict[float, float]:
    sink = _bound_socket()
    service = _bound_socket()
    port = service.getsockname()[1]
    service.close()
    node = _bound_socket()
    listen = node.getsockname()
    node.close()
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
    identity = node_identity.NodeIdentity(
        "entry", role.Role.ENTRY, "", "zone-0", "east", listen[0], listen[1], 1
    )
    control = [address.from_socket(sink.getsockname())]
    link = node_link.NodeLink(identity, control, 1)
    _fill_table(link, port, sink.getsockname())
    core = entry_core.EntryCore(link, address.from_socket(listen), 0)
    codec = frame_codec.FrameCodec(KEY, link.node_id, 1)
    shell = entry_shell.EntryShell(cfg, core, codec)
    stopped = asyncio.Event()
    # An entry opens its class sockets only while it holds a lease.
    link.right.renew(time.monotonic(), LEASE_MS)
    task = asyncio.create_task(shell.serve(stopped))
    await asyncio.sleep(START_SECONDS)
    callers = [_bound_socket() for _ in range(BURST_PACKETS)]
    points = {}
    for size in (16, 256, 1024):
        points[float(size)] = await _packet_us(link, callers, port, size, bursts, sink)
    stopped.set()
    await task
    for sock in (sink, *callers):
        sock.close()
    return points


def _fill_table(
    link: node_link.NodeLink, port: int, agent_endpoint: tuple[str, int]
) -> None:
    """Fill the table with one class and some agents, all at one address."""
    class_record = sample_site.classes(1)[0]
    fields = {f: getattr(class_record, f) for f in class_record.__struct_fields__}
    records = [*sample_site.zones(), type(class_record)(**{**fields, "port": port})]
    for i in range(4):
        agent = sample_site.agent(i, 0)
        values = {f: getattr(agent, f) for f in agent.__struct_fields__}
        host, agent_port = agent_endpoint
        records.append(type(agent)(**{**values, "host": host, "port": agent_port}))
    link.table.replace(records, 5_000, 5_000)


async def _packet_us(
    link: node_link.NodeLink,
    callers: list[socket.socket],
    port: int,
    size: int,
    bursts: int,
    sink: socket.socket,
) -> float:
    data = bytes(size)
    shortest_s = float("inf")
    for _ in range(bursts):
        link.right.renew(time.monotonic(), LEASE_MS)
        for sock in callers:
            sock.sendto(data, (LOOPBACK, port))
        started = time.process_time()
        # The first turn of the event loop polls the sockets, the second reads them.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        elapsed = time.process_time() - started
        forwarded = _drain(sink, size)
        if forwarded >= BURST_PACKETS:
            shortest_s = min(shortest_s, elapsed / BURST_PACKETS)
    return shortest_s * resource_usage.MICROSECONDS


def _baseline_loop_us(size: int, bursts: int) -> float:
    """Return the time per packet of a bare loop that receives, hashes and sends."""
    receiver, sink = _bound_socket(), _bound_socket()
    callers = [_bound_socket() for _ in range(BURST_PACKETS)]
    receiver_endpoint, sink_endpoint = receiver.getsockname(), sink.getsockname()
    mac = hashlib.blake2b(key=KEY, digest_size=8)
    data = bytes(size)
    shortest_s = float("inf")
    for _ in range(bursts):
        for sock in callers:
            sock.sendto(data, receiver_endpoint)
        started = time.process_time()
        for _ in range(BURST_PACKETS):
            received, source = receiver.recvfrom(65_535)
            xxhash.xxh64_intdigest(source[0].encode())
            tag = mac.copy()
            tag.update(received)
            receiver.sendto(received + tag.digest(), sink_endpoint)
        shortest_s = min(shortest_s, (time.process_time() - started) / BURST_PACKETS)
        _drain(sink, size)
    for sock in (receiver, sink, *callers):
        sock.close()
    return shortest_s * resource_usage.MICROSECONDS


def _drain(sink: socket.socket, size: int) -> int:
    """Read all waiting datagrams; return how many have at least the given size."""
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
