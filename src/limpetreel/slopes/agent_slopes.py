"""Slopes of an agent."""

from __future__ import annotations

import asyncio
import functools

import msgspec

from limpetreel.agent import return_path
from limpetreel.catalog import table
from limpetreel.flows import bucket_directory, flow_directory, flow_key, owned_flows
from limpetreel.requests import request_key, request_log
from limpetreel.runtime import udp_socket
from limpetreel.slopes import (
    design_size,
    gauge,
    router_group,
    sample_site,
    single_agent,
    slope,
)
from limpetreel.wire import address, packet

FLOW_SIZES = (500, 1_500, 5_000)
QUICK_FLOW_SIZES = (50, 100, 200)
REQUESTS_PER_BATCH = 200
LARGE_CLASS = 100


def slopes(quick: bool, repeats: int) -> list[slope.Slope]:
    """Return the slopes.

    Parameters
    ----------
    quick : bool
        Whether to use tiny sizes.
    repeats : int
        Calls of which the least processor time counts.
    """
    flows = QUICK_FLOW_SIZES if quick else FLOW_SIZES
    members = (3, 4, 5) if quick else (3, 10, 30, 100)
    return [
        *_flow_memory(flows),
        *_requests(repeats, flows),
        *_table_changes(repeats, members),
        *_takeovers(members, flows),
    ]


def _flow_memory(flows: tuple[int, ...]) -> list[slope.Slope]:
    builders = {
        "agent.owned_flow": _owned,
        "agent.directory_entry": _directory,
        "agent.request_record": _requests_log,
        "agent.return_path": _return_path,
        "agent.open_socket_python_part": _sockets,
    }
    found = []
    for name, builder in builders.items():
        sizes = (100, 200, 400) if builder is _sockets else flows
        points = {
            float(n): gauge.held_bytes(functools.partial(builder, n)) for n in sizes
        }
        found.append(
            slope.fit(name, "flows", "bytes", points, design_size.FLOWS_PER_AGENT)
        )
    return found


def _flow(number: int) -> flow_key.FlowKey:
    caller = address.Address(0x0A000000 + number, 30_000 + number % 1_000)
    return flow_key.FlowKey(1, caller)


def _owned(count: int) -> object:
    made = owned_flows.OwnedFlows()
    for i in range(count):
        made.use(float(i), _flow(i))
    return made


def _directory(count: int) -> object:
    made = flow_directory.FlowDirectory()
    owner = (1 << 60, 1 << 40)
    for i in range(count):
        flow = _flow(i)
        made.of(flow).put(float(i), flow, owner)
    return made


def _requests_log(count: int) -> object:
    made = request_log.RequestLog()
    for i in range(count):
        made.begin(i / 1000, request_key.RequestKey(_flow(i), i), idempotent=True)
    return made


def _return_path(count: int) -> object:
    made = return_path.ReturnPath(table.Table())
    for i in range(count):
        flow = _flow(i)
        entry = address.Address(0x7F000000 + i, 7_000)
        made.record(
            flow,
            packet.Packet(1, 5, 0, 0, 900, 1 << 20, 0, flow.caller, entry, bytes(40)),
        )
    return made


def _sockets(count: int) -> object:
    return asyncio.run(_open_sockets(count))


async def _open_sockets(count: int) -> object:
    peer = udp_socket.UdpSocket(_ignore, "127.0.0.1")
    made = [
        udp_socket.UdpSocket(_ignore, "127.0.0.1", connect=peer.address)
        for _ in range(count)
    ]
    for sock in (peer, *made):
        sock.close()
    return made


def _ignore(data: bytes, source: tuple[str, int]) -> None:
    """Take a datagram."""


def _requests(repeats: int, flows: tuple[int, ...]) -> list[slope.Slope]:
    old = {float(n): _request_us(n, repeats) for n in flows}
    full = {float(n): _is_full_us(n, repeats) for n in (64, 256, 1_024)}
    return [
        slope.fit(
            "agent.request",
            "flows held",
            "us processor time per GET with its answer, without sockets",
            old,
            design_size.FLOWS_PER_AGENT,
        ),
        slope.fit(
            "agent.directory_bound_check",
            "buckets held",
            "us processor time per new flow",
            full,
            1_024,
        ),
    ]


def _request_us(flows: int, repeats: int) -> float:
    made = single_agent.SingleAgent()
    callers = [_flow(i).caller for i in range(flows)]
    for caller in callers:
        made.request(caller)
        made.tick()
    best = float("inf")
    turn = 0
    for _ in range(repeats):
        made.busy_s = 0.0
        made.served = 0
        for _ in range(REQUESTS_PER_BATCH):
            turn = (turn + 1) % flows
            made.request(callers[turn])
            made.link.right.renew(made.now, 2_000)
        made.tick()
        if made.served == REQUESTS_PER_BATCH:
            best = min(best, made.busy_s / REQUESTS_PER_BATCH)
    return best * gauge.MICROSECONDS


def _is_full_us(buckets: int, repeats: int) -> float:
    made = flow_directory.FlowDirectory()
    for bucket in range(buckets):
        directory = made.bucket(bucket)
        assert isinstance(directory, bucket_directory.BucketDirectory)
        directory.put(0.0, _flow(bucket), (1, 1))
    return gauge.least_us(lambda: made.is_full, 50 * repeats)


def _table_changes(repeats: int, members: tuple[int, ...]) -> list[slope.Slope]:
    other = {float(n): _change_us(n, repeats, is_own_class=False) for n in members}
    own = {float(n): _change_us(n, repeats, is_own_class=True) for n in members}
    unit = "us processor time per change, 770 entries in the table"
    return [
        slope.fit("agent.foreign_table_change", "agents of the class", unit, other, 4),
        slope.fit("agent.own_table_change", "agents of the class", unit, own, 4),
    ]


def _change_us(members: int, repeats: int, is_own_class: bool) -> float:
    made = single_agent.SingleAgent(members, scale=1.0)
    records = made.link.table
    last = sample_site.agent(members - 1, 0)

    def change() -> None:
        revision = records.revision + 1
        items = []
        if is_own_class:
            share = revision % 8 + 1
            items = [msgspec.structs.replace(last, share=share, modified=revision)]
        records.apply(items, revision)
        made.core.handle(made.now, single_agent.tick.Tick())

    return gauge.least_us(change, repeats)


def _takeovers(
    member_counts: tuple[int, ...], flow_counts: tuple[int, ...]
) -> list[slope.Slope]:
    by_members = {n: _takeover(n, 200) for n in member_counts}
    by_flows = {n: _takeover(5, n) for n in flow_counts}
    figures = {
        "messages": ("messages of the whole class", lambda g: g.messages),
        "bytes": ("bytes of the whole class", lambda g: g.bytes),
        "processor": ("ms processor time of the whole class", lambda g: 1e3 * g.busy_s),
    }
    found = []
    for key, (unit, value) in figures.items():
        members = {float(n): float(value(g)) for n, g in by_members.items()}
        flows = {float(n): float(value(g)) for n, g in by_flows.items()}
        found.append(
            slope.fit(
                f"agent.takeover_{key}_by_members",
                "agents of the class, of which one is lost, with 200 flows",
                unit,
                members,
                LARGE_CLASS,
            )
        )
        found.append(
            slope.fit(
                f"agent.takeover_{key}_by_flows",
                "flows of a class of 5 agents, of which one is lost",
                unit,
                flows,
                5 * design_size.FLOWS_PER_AGENT,
            )
        )
    return found


def _takeover(members: int, flows: int) -> router_group.RouterGroup:
    group = router_group.RouterGroup(members)
    group.add_flows(flows)
    group.lose_first()
    return group
