"""Measurement of control: commands, recovery, tables and the cost for nodes."""

from __future__ import annotations

import itertools
import pathlib
import tempfile
import time
from typing import TYPE_CHECKING

from limpetreel.agent import agent_core
from limpetreel.assignment import class_assignment
from limpetreel.catalog import catalog, delta_source, member_state, role
from limpetreel.catalog.commands import (
    bootstrap,
    class_create,
    command_codec,
    member_joined,
    zone_create,
)
from limpetreel.consensus import entry, entry_kind, member
from limpetreel.consensus.actions import persist
from limpetreel.control import control_core
from limpetreel.control.events import leave
from limpetreel.entry import entry_core
from limpetreel.measure import (
    control_processes,
    deployment,
    fake_site,
    measurement,
    upstream_profile,
)
from limpetreel.messages import delta_request
from limpetreel.storage import folder_disk, log_store
from limpetreel.wire import message_codec

if TYPE_CHECKING:
    from limpetreel.catalog import member_record

RECORDS = 10_000
COMMANDS = 30
CHANGES = 20
READY_SECONDS = 9.0
QUIET_SECONDS = 20.0
MEMBERS = 100
FRAME_BYTES = 42

MAX_CONFIG_SECONDS = 13.0
MAX_NODE_BYTES_PER_SECOND = 4000.0
MAX_CPU_PERCENT = 4.7
MAX_RSS_MB = 64.0
SIZE = deployment.THREE_ZONES


def measure_control(seed: int) -> list[measurement.Measurement]:
    """Return all figures of control.

    Parameters
    ----------
    seed : int
        Seed of the network and the clocks.
    """
    return [
        *measure_commands(seed),
        measure_recovery(seed),
        measure_moved(seed),
        measure_delta(seed),
        measure_config(seed),
        measure_node_bytes(seed),
        measure_planned_stop(seed),
        *measure_processes(seed),
    ]


def measure_commands(seed: int) -> list[measurement.Measurement]:
    """Count accepted commands that are lost, or applied twice, over two leaders.

    Each command is sent to all instances, and again after the loss of the leader.
    """
    site = _make_site(seed)
    site.queue.run_until(READY_SECONDS)
    bodies = [
        {
            "type": "zone_create",
            "name": f"extra-{number}",
            "expected": 0,
            "region": "local",
            "command_id": f"measured-{number}",
        }
        for number in range(COMMANDS)
    ]
    first = _send_all(site, bodies)
    site.controls[site.leader()].stop()
    site.queue.run_until(site.queue.now + 5.0)
    second = _send_all(site, bodies)
    held = _records(site)
    accepted = {k: a["revision"] for k, a in first.items() if a["status"] == "applied"}
    lost = sum(held.get(f"zone/{_name(k)}") is None for k in accepted)
    repeated = sum(
        second.get(k, {}).get("revision") != revision
        or getattr(held.get(f"zone/{_name(k)}"), "modified", 0) != revision
        for k, revision in accepted.items()
    )
    count = len(accepted)
    return [
        _made("commands_accepted", count, "commands", COMMANDS, None, seed),
        _made("accepted_then_lost", lost, "commands", 0.0, None, seed),
        _made("duplicate_commands_applied", repeated, "commands", 0.0, None, seed),
    ]


def measure_recovery(seed: int) -> measurement.Measurement:
    """Time the restart of an instance with 10,000 records in its log.

    The baseline recovers the same records from a snapshot.
    """
    commands: list[command_codec.Command] = [bootstrap.Bootstrap(20000, 20999)]
    commands += [_join(number) for number in range(RECORDS)]
    data = [command_codec.encode(c) for c in commands]
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        store = log_store.LogStore(folder_disk.FolderDisk(folder))
        store.create("c", 1, (member.Member("c", 1, "c"),))
        for start in range(0, len(data), 500):
            batch = tuple(
                entry.Entry(index + 1, 1, entry_kind.EntryKind.DATA, data[index])
                for index in range(start, min(start + 500, len(data)))
            )
            store.persist(persist.Persist(1, "", 0, batch))
        store.close()
        begin = time.perf_counter()
        store = log_store.LogStore(folder_disk.FolderDisk(folder))
        durable = store.recover()
        replayed = catalog.Catalog()
        for item in durable.entries if durable is not None else ():
            replayed.apply(item.index, item.data)
        seconds = time.perf_counter() - begin
        store.close()
    snapshot = replayed.snapshot()
    begin = time.perf_counter()
    catalog.Catalog().restore(snapshot)
    baseline = time.perf_counter() - begin
    return _made("recovery_s_per_10k_records", seconds, "s", None, baseline, seed)


def measure_moved(seed: int) -> measurement.Measurement:
    """Return the mean part of buckets that move when one upstream of n leaves.

    The baseline is the hash modulo n.
    """
    count = SIZE.class_sizes[0]
    members = [SIZE.member(i, deployment.INITIAL_SHARE) for i in range(count)]
    before = _primaries(members)
    buckets = class_assignment.BUCKETS_PER_CLASS
    moved = modulo = 0
    for gone in range(count):
        left = [m for i, m in enumerate(members) if i != gone]
        after = _primaries(left)
        moved += sum(a != b for a, b in zip(before, after, strict=True))
        modulo += sum(
            members[b % count] is not left[b % (count - 1)] for b in range(buckets)
        )
    total = buckets * count
    bound = round(1 / count, 4)
    return _made(
        "table_moved_ratio", moved / total, "ratio", bound, modulo / total, seed
    )


def measure_delta(seed: int) -> measurement.Measurement:
    """Return the bytes that one changed member costs each node.

    The baseline sends the whole table of a class with 100 members.
    """
    state = catalog.Catalog()
    commands: list[command_codec.Command] = [
        bootstrap.Bootstrap(20000, 20999),
        zone_create.ZoneCreate(command_id="z", expected=0, name="z", region="r"),
        class_create.ClassCreate(
            command_id="c", expected=0, name="bookings", capacity=1, answer_ms=1
        ),
        *(_join(number) for number in range(MEMBERS)),
    ]
    for index, command in enumerate(commands, start=1):
        state.apply(index, command_codec.encode(command))
    before = state.table.revision
    index = len(commands) + 1
    state.apply(index, command_codec.encode(_join(0, incarnation=2)))
    delta = _delta_bytes(state, before, "bookings")
    table = _delta_bytes(state, 0, "bookings")
    return _made("delta_bytes_per_change", delta, "bytes", None, table, seed)


def measure_config(seed: int) -> measurement.Measurement:
    """Return the longest time until a change is in force at all nodes."""
    site = _make_site(seed)
    site.queue.run_until(READY_SECONDS)
    longest = 0.0
    for number in range(CHANGES):
        begin = site.queue.now
        call = site.change("class_set", "class-0", capacity=1000 + number)
        while call not in site.answers or not _is_in_force(site, call):
            site.queue.run_until(site.queue.now + 0.05)
            if site.queue.now > begin + 2 * MAX_CONFIG_SECONDS:
                break
        longest = max(longest, site.queue.now - begin)
        site.queue.run_until(site.queue.now + site.rng.uniform(0.1, 0.9))
    bound = MAX_CONFIG_SECONDS
    return _made("config_in_force_s", longest, "s", bound, None, seed)


def measure_node_bytes(seed: int) -> measurement.Measurement:
    """Return the control traffic of a node without load, both directions.

    Frames count without the headers of UDP and IP. The baseline is arithmetic: the
    measured rate and the measured size of a whole table, sent with every answer.
    """
    site = _make_site(seed)
    site.queue.run_until(READY_SECONDS + QUIET_SECONDS)
    begin = dict(site.network.sent_bytes)
    site.queue.run_until(site.queue.now + QUIET_SECONDS)
    nodes = [*site.entries.values(), *site.agents.values()]

    def sent(where: object) -> int:
        return sum(
            size - begin.get(source, 0)
            for source, size in site.network.sent_bytes.items()
            if source == where
        )

    # Whatever a node sends is received by control or by another node.
    own = sum(sent(node.address) for node in nodes)
    control = sum(sent(node.address) for node in site.controls.values())
    rate = (2 * own + control) / QUIET_SECONDS / len(nodes)
    leader = _leader(site)
    baseline = rate + 2 * _delta_bytes(leader.catalog, 0, "")
    bound = MAX_NODE_BYTES_PER_SECOND
    return _made("control_bytes_per_node_per_s", rate, "B/s", bound, baseline, seed)


def measure_planned_stop(seed: int) -> measurement.Measurement:
    """Return the time from a planned stop of the leader to a new leader's lease.

    Until then no command is accepted and no new lease granted. In the baseline the
    leader ends without notice.
    """
    gaps = []
    for is_planned in (True, False):
        site = _make_site(seed)
        site.queue.run_until(READY_SECONDS)
        old = site.leader()
        begin = site.queue.now
        if is_planned:
            site.controls[old].handle(leave.Leave())
        else:
            site.controls[old].stop()
        while not _has_new_leader(site, old):
            site.queue.run_until(site.queue.now + 0.01)
        gaps.append(site.queue.now - begin)
    return _made("planned_stop_gap_s", gaps[0], "s", None, gaps[1], seed)


def measure_processes(seed: int) -> list[measurement.Measurement]:
    """Return CPU and memory of real entry and agent processes without load.

    The higher of both roles counts.
    """
    found = control_processes.measure_nodes()
    cpu = sorted(item[0] for item in found)
    rss = sorted(item[1] for item in found)
    return [
        _made("control_cpu_percent", cpu[-1], "%", MAX_CPU_PERCENT, None, seed),
        _made("control_rss_mb", rss[-1], "MB", MAX_RSS_MB, None, seed),
    ]


def _has_new_leader(site: fake_site.FakeSite, old: str) -> bool:
    if site.leader() in ("", old):
        return False
    return _leader(site).raft.lease_remaining(site.queue.now) > 0


def _make_site(seed: int) -> fake_site.FakeSite:
    zones = tuple(f"zone-{i}" for i in range(SIZE.zones))
    site = fake_site.FakeSite(zones, 0.0015, seed, 0.001)
    for zone in zones:
        site.start_entry(f"entry-{zone}", zone)
    site.queue.run_until(2.0)
    for zone in zones:
        site.change("zone_create", zone, region="local")
    site.queue.run_until(3.0)
    for class_id, size in enumerate(SIZE.class_sizes):
        name = f"class-{class_id}"
        site.change("class_create", name, capacity=1000, answer_ms=2000)
        for number in range(size):
            agent = f"{name}-{number}"
            site.start_upstream(
                agent, upstream_profile.UpstreamProfile(SIZE.slots, 0.05, 2.0)
            )
            site.start_agent(name, agent, zones[number % len(zones)])
    return site


def _send_all(
    site: fake_site.FakeSite, bodies: list[dict[str, object]]
) -> dict[str, dict[str, object]]:
    """Send each command to all instances that run; return the definite answers."""
    calls = {}
    for body in bodies:
        for name, node in site.controls.items():
            if node.is_up:
                calls[site.command(body, name)] = str(body["command_id"])
        site.queue.run_until(site.queue.now + 0.05)
    site.queue.run_until(site.queue.now + 1.0)
    return {
        command_id: site.answers[call][1]
        for call, command_id in calls.items()
        if call in site.answers and site.answers[call][1].get("command_id")
    }


def _name(command_id: str) -> str:
    return f"extra-{command_id.rpartition('-')[2]}"


def _records(site: fake_site.FakeSite) -> dict[str, object]:
    return dict(_leader(site).catalog.table.records)


def _is_in_force(site: fake_site.FakeSite, call: int) -> bool:
    wanted = site.answers[call][1]["revision"]
    assert isinstance(wanted, int)
    nodes = itertools.chain(site.entries.values(), site.agents.values())
    return all(_revision(node.core) >= wanted for node in nodes)


def _revision(node: object) -> int:
    assert isinstance(node, entry_core.EntryCore | agent_core.AgentCore)
    return node.link.table.revision


def _leader(site: fake_site.FakeSite) -> control_core.ControlCore:
    found = site.controls[site.leader()].core
    assert isinstance(found, control_core.ControlCore)
    return found


def _primaries(members: list[member_record.MemberRecord]) -> list[str]:
    made = class_assignment.ClassAssignment(1, members)
    found = (made.lookup(b) for b in range(class_assignment.BUCKETS_PER_CLASS))
    return [c.primary.name for c in found if c is not None]


def _delta_bytes(state: catalog.Catalog, revision: int, scope: str) -> int:
    source = delta_source.DeltaSource(state.table)
    request = delta_request.DeltaRequest(
        revision=revision, count=delta_source.MAX_PARTS_PER_REQUEST, scope=scope
    )
    return sum(
        len(message_codec.encode(part)) + FRAME_BYTES for part in source.parts(request)
    )


def _join(number: int, incarnation: int = 1) -> member_joined.MemberJoined:
    return member_joined.MemberJoined(
        name=f"bookings-{number}",
        role=role.Role.AGENT,
        class_name="bookings",
        zone=f"zone-{number % SIZE.zones}",
        region="local",
        host="127.0.0.1",
        port=7000,
        incarnation=incarnation,
        share=deployment.INITIAL_SHARE,
        state=member_state.MemberState.ACTIVE,
    )


def _made(
    name: str,
    value: float,
    unit: str,
    bound: float | None,
    baseline: float | None,
    seed: int,
) -> measurement.Measurement:
    return measurement.Measurement(
        name,
        float(round(value, 4)),
        unit,
        bound,
        None if baseline is None else round(baseline, 4),
        seed,
        SIZE.name,
    )
