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
    resource_usage,
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
    """Return the slopes of memory, requests, table changes and takeovers.

    Parameters
    ----------
    quick : bool
        Whether to use tiny sizes.
    repeats : int
        Number of calls, of which the shortest one counts.
    """
    flows = QUICK_FLOW_SIZES if quick else FLOW_SIZES
    members = (3, 4, 5) if quick else (3, 10, 30, 100)
    return [
        *_flow_memory(flows),
        *_request_cost(repeats, flows),
        *_table_changes(repeats, members),
        *_takeovers(members, flows),
    ]


def _flow_memory(flows: tuple[int, ...]) -> list[slope.Slope]:
    builders = {
        "agent.owned_flow": _build_owned_flows,
        "agent.directory_entry": _build_directory,
        "agent.request_record": _build_request_log,
        "agent.return_path": _build_return_path,
        "agent.open_socket_python_part": _build_sockets,
    }
    fitted = []
    for name, builder in builders.items():
        sizes = (100, 200, 400) if builder is _build_sockets else flows
        points = {
            float(n): resource_usage.retained_bytes(functools.partial(builder, n))
            for n in sizes
        }
        fitted.append(
            slope.fit(name, "flows", "bytes", points, design_size.FLOWS_PER_AGENT)
        )
    return fitted


def _flow_key(number: int) -> flow_key.FlowKey:
    caller = address.Address(0x0A000000 + number, 30_000 + number % 1_000)
    return flow_key.FlowKey(1, caller)


def _build_owned_flows(count: int) -> object:
    flows = owned_flows.OwnedFlows()
    for i in range(count):
        flows.use(float(i), _flow_key(i))
    return flows


def _build_directory(count: int) -> object:
    directory = flow_directory.FlowDirectory()
    owner = (1 << 60, 1 << 40)
    for i in range(count):
        flow = _flow_key(i)
        directory.for_flow(flow).put(float(i), flow, owner)
    return directory


def _build_request_log(count: int) -> object:
    log = request_log.RequestLog()
    for i in range(count):
        log.begin(i / 1000, request_key.RequestKey(_flow_key(i), i), idempotent=True)
    return log


def _build_return_path(count: int) -> object:
    path = return_path.ReturnPath(table.Table())
    for i in range(count):
        flow = _flow_key(i)
        entry = address.Address(0x7F000000 + i, 7_000)
        path.record(
            flow,
            packet.Packet(1, 5, 0, 0, 900, 1 << 20, 0, flow.caller, entry, bytes(40)),
        )
    return path


def _build_sockets(count: int) -> object:
    return asyncio.run(_open_sockets(count))


async def _open_sockets(count: int) -> object:
    peer = udp_socket.UdpSocket(_discard, "127.0.0.1")
    sockets = [
        udp_socket.UdpSocket(_discard, "127.0.0.1", connect=peer.address)
        for _ in range(count)
    ]
    for sock in (peer, *sockets):
        sock.close()
    return sockets


def _discard(data: bytes, source: tuple[str, int]) -> None:
    """Discard a datagram."""


def _request_cost(repeats: int, flows: tuple[int, ...]) -> list[slope.Slope]:
    by_flows = {float(n): _request_us(n, repeats) for n in flows}
    by_buckets = {float(n): _bound_check_us(n, repeats) for n in (64, 256, 1_024)}
    return [
        slope.fit(
            "agent.request",
            "flows held",
            "us processor time per GET with its answer, without sockets",
            by_flows,
            design_size.FLOWS_PER_AGENT,
        ),
        slope.fit(
            "agent.directory_bound_check",
            "buckets held",
            "us processor time per new flow",
            by_buckets,
            1_024,
        ),
    ]


def _request_us(flows: int, repeats: int) -> float:
    agent = single_agent.SingleAgent()
    callers = [_flow_key(i).caller for i in range(flows)]
    for caller in callers:
        agent.request(caller)
        agent.tick()
    shortest_s = float("inf")
    index = 0
    for _ in range(repeats):
        agent.busy_s = 0.0
        agent.served = 0
        for _ in range(REQUESTS_PER_BATCH):
            index = (index + 1) % flows
            agent.request(callers[index])
            agent.link.right.renew(agent.now, 2_000)
        agent.tick()
        if agent.served == REQUESTS_PER_BATCH:
            shortest_s = min(shortest_s, agent.busy_s / REQUESTS_PER_BATCH)
    return shortest_s * resource_usage.MICROSECONDS


def _bound_check_us(buckets: int, repeats: int) -> float:
    flows = flow_directory.FlowDirectory()
    for bucket in range(buckets):
        bucket_flows = flows.for_bucket(bucket)
        assert isinstance(bucket_flows, bucket_directory.BucketDirectory)
        bucket_flows.put(0.0, _flow_key(bucket), (1, 1))
    return resource_usage.min_cpu_us(lambda: flows.is_full, 50 * repeats)


def _table_changes(repeats: int, members: tuple[int, ...]) -> list[slope.Slope]:
    foreign_class = {
        float(n): _change_us(n, repeats, is_own_class=False) for n in members
    }
    own_class = {float(n): _change_us(n, repeats, is_own_class=True) for n in members}
    unit = "us processor time per change, 770 entries in the table"
    return [
        slope.fit(
            "agent.foreign_table_change", "agents of the class", unit, foreign_class, 4
        ),
        slope.fit("agent.own_table_change", "agents of the class", unit, own_class, 4),
    ]


def _change_us(members: int, repeats: int, is_own_class: bool) -> float:
    agent = single_agent.SingleAgent(members, scale=1.0)
    agent_table = agent.link.table
    last = sample_site.agent(members - 1, 0)

    def change() -> None:
        revision = agent_table.revision + 1
        changed = []
        if is_own_class:
            share = revision % 8 + 1
            changed = [msgspec.structs.replace(last, share=share, modified=revision)]
        agent_table.apply(changed, revision)
        agent.core.handle(agent.now, single_agent.tick.Tick())

    return resource_usage.min_cpu_us(change, repeats)


def _takeovers(
    member_counts: tuple[int, ...], flow_counts: tuple[int, ...]
) -> list[slope.Slope]:
    by_members = {n: _run_takeover(n, 200) for n in member_counts}
    by_flows = {n: _run_takeover(5, n) for n in flow_counts}
    figures = {
        "messages": ("messages of the whole class", lambda g: g.messages),
        "bytes": ("bytes of the whole class", lambda g: g.bytes),
        "processor": ("ms processor time of the whole class", lambda g: 1e3 * g.busy_s),
    }
    fitted = []
    for key, (unit, value) in figures.items():
        members = {float(n): float(value(g)) for n, g in by_members.items()}
        flows = {float(n): float(value(g)) for n, g in by_flows.items()}
        fitted.append(
            slope.fit(
                f"agent.takeover_{key}_by_members",
                "agents of the class, of which one is lost, with 200 flows",
                unit,
                members,
                LARGE_CLASS,
            )
        )
        fitted.append(
            slope.fit(
                f"agent.takeover_{key}_by_flows",
                "flows of a class of 5 agents, of which one is lost",
                unit,
                flows,
                5 * design_size.FLOWS_PER_AGENT,
            )
        )
    return fitted


def _run_takeover(members: int, flows: int) -> router_group.RouterGroup:
    group = router_group.RouterGroup(members)
    group.add_flows(flows)
    group.mark_first_lost()
    return group
