"""Measurements of control: commands, recovery, tables and the cost for nodes."""

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

RECORD_COUNT = 10_000
COMMAND_COUNT = 30
CHANGE_COUNT = 20
READY_SECONDS = 9.0
IDLE_SECONDS = 20.0
MEMBER_COUNT = 100
FRAME_OVERHEAD_BYTES = 42

MAX_IN_FORCE_SECONDS = 13.0
MAX_NODE_BYTES_PER_SECOND = 4000.0
MAX_CPU_PERCENT = 4.7
MAX_RSS_MB = 64.0
DEPLOYMENT = deployment.THREE_ZONES


def measure_control(seed: int) -> list[measurement.Measurement]:
    """Return all measurements of control.

    Parameters
    ----------
    seed : int
        Seed of the network and the clocks.
    """
    return [
        *measure_commands(seed),
        measure_recovery(seed),
        measure_moved_buckets(seed),
        measure_delta(seed),
        measure_configuration_change(seed),
        measure_node_bytes(seed),
        measure_planned_stop(seed),
        *measure_processes(seed),
    ]


def measure_commands(seed: int) -> list[measurement.Measurement]:
    """Count accepted commands that a change of leader loses or applies twice.

    Each command is sent to all control instances, and again after the leader stops.
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
        for number in range(COMMAND_COUNT)
    ]
    first = _send_all(site, bodies)
    site.controls[site.leader()].stop()
    site.queue.run_until(site.queue.now + 5.0)
    second = _send_all(site, bodies)
    records = _records(site)
    accepted = {k: a["revision"] for k, a in first.items() if a["status"] == "applied"}
    lost_count = sum(records.get(f"zone/{_zone_name(k)}") is None for k in accepted)
    repeated_count = sum(
        second.get(k, {}).get("revision") != revision
        or getattr(records.get(f"zone/{_zone_name(k)}"), "modified", 0) != revision
        for k, revision in accepted.items()
    )
    accepted_count = len(accepted)
    return [
        _measurement(
            "commands_accepted", accepted_count, "commands", COMMAND_COUNT, None, seed
        ),
        _measurement("accepted_then_lost", lost_count, "commands", 0.0, None, seed),
        _measurement(
            "duplicate_commands_applied", repeated_count, "commands", 0.0, None, seed
        ),
    ]


def measure_recovery(seed: int) -> measurement.Measurement:
    """Return the recovery time of a control instance with 10,000 log records.

    The baseline restores the same records from a snapshot.
    """
    commands: list[command_codec.Command] = [bootstrap.Bootstrap(20000, 20999)]
    commands += [_join(number) for number in range(RECORD_COUNT)]
    data = [command_codec.encode(c) for c in commands]
    with tempfile.TemporaryDirectory() as folder_name:
        folder = pathlib.Path(folder_name)
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
        for log_entry in durable.entries if durable is not None else ():
            replayed.apply(log_entry.index, log_entry.data)
        seconds = time.perf_counter() - begin
        store.close()
    snapshot = replayed.snapshot()
    begin = time.perf_counter()
    catalog.Catalog().restore(snapshot)
    baseline = time.perf_counter() - begin
    return _measurement(
        "recovery_s_per_10k_records", seconds, "s", None, baseline, seed
    )


def measure_moved_buckets(seed: int) -> measurement.Measurement:
    """Return the mean ratio of buckets that move when one of n upstreams leaves.

    The baseline assigns buckets to upstreams by the hash modulo n.
    """
    count = DEPLOYMENT.class_sizes[0]
    members = [DEPLOYMENT.member(i, deployment.INITIAL_SHARE) for i in range(count)]
    before = _primaries(members)
    buckets = class_assignment.BUCKETS_PER_CLASS
    moved = moved_by_modulo = 0
    for removed in range(count):
        remaining = [m for i, m in enumerate(members) if i != removed]
        after = _primaries(remaining)
        moved += sum(a != b for a, b in zip(before, after, strict=True))
        moved_by_modulo += sum(
            members[b % count] is not remaining[b % (count - 1)] for b in range(buckets)
        )
    total = buckets * count
    bound = round(1 / count, 4)
    return _measurement(
        "table_moved_ratio",
        moved / total,
        "ratio",
        bound,
        moved_by_modulo / total,
        seed,
    )


def measure_delta(seed: int) -> measurement.Measurement:
    """Return the bytes sent to each node for one changed member.

    The baseline sends the whole table of a class with 100 members.
    """
    state = catalog.Catalog()
    commands: list[command_codec.Command] = [
        bootstrap.Bootstrap(20000, 20999),
        zone_create.ZoneCreate(command_id="z", expected=0, name="z", region="r"),
        class_create.ClassCreate(
            command_id="c", expected=0, name="bookings", capacity=1, answer_ms=1
        ),
        *(_join(number) for number in range(MEMBER_COUNT)),
    ]
    for index, command in enumerate(commands, start=1):
        state.apply(index, command_codec.encode(command))
    before = state.table.revision
    index = len(commands) + 1
    state.apply(index, command_codec.encode(_join(0, incarnation=2)))
    delta = _delta_bytes(state, before, "bookings")
    table = _delta_bytes(state, 0, "bookings")
    return _measurement("delta_bytes_per_change", delta, "bytes", None, table, seed)


def measure_configuration_change(seed: int) -> measurement.Measurement:
    """Return the longest time until a configuration change is in force at all nodes."""
    site = _make_site(seed)
    site.queue.run_until(READY_SECONDS)
    longest = 0.0
    for number in range(CHANGE_COUNT):
        begin = site.queue.now
        call = site.change("class_set", "class-0", capacity=1000 + number)
        while call not in site.answers or not _is_in_force(site, call):
            site.queue.run_until(site.queue.now + 0.05)
            if site.queue.now > begin + 2 * MAX_IN_FORCE_SECONDS:
                break
        longest = max(longest, site.queue.now - begin)
        site.queue.run_until(site.queue.now + site.rng.uniform(0.1, 0.9))
    bound = MAX_IN_FORCE_SECONDS
    return _measurement("config_in_force_s", longest, "s", bound, None, seed)


def measure_node_bytes(seed: int) -> measurement.Measurement:
    """Return the control traffic of an idle node in both directions.

    The headers of UDP and IP are not counted. The baseline is computed from the
    measured rate and the measured size of a full table, sent with every answer.
    """
    site = _make_site(seed)
    site.queue.run_until(READY_SECONDS + IDLE_SECONDS)
    sent_before = dict(site.network.sent_bytes)
    site.queue.run_until(site.queue.now + IDLE_SECONDS)
    nodes = [*site.entries.values(), *site.agents.values()]

    def sent_by(source_address: object) -> int:
        return sum(
            size - sent_before.get(source, 0)
            for source, size in site.network.sent_bytes.items()
            if source == source_address
        )

    # Whatever a node sends is received by control or by another node.
    sent_by_nodes = sum(sent_by(node.address) for node in nodes)
    sent_by_control = sum(sent_by(node.address) for node in site.controls.values())
    rate = (2 * sent_by_nodes + sent_by_control) / IDLE_SECONDS / len(nodes)
    leader = _leader(site)
    baseline = rate + 2 * _delta_bytes(leader.catalog, 0, "")
    bound = MAX_NODE_BYTES_PER_SECOND
    return _measurement(
        "control_bytes_per_node_per_s", rate, "B/s", bound, baseline, seed
    )


def measure_planned_stop(seed: int) -> measurement.Measurement:
    """Return the time from a planned stop of the leader to the next leader's lease.

    Until then no command is accepted and no lease is granted. In the baseline the
    leader stops without notice.
    """
    gaps = []
    for is_planned in (True, False):
        site = _make_site(seed)
        site.queue.run_until(READY_SECONDS)
        old_leader = site.leader()
        begin = site.queue.now
        if is_planned:
            site.controls[old_leader].handle(leave.Leave())
        else:
            site.controls[old_leader].stop()
        while not _has_new_leader(site, old_leader):
            site.queue.run_until(site.queue.now + 0.01)
        gaps.append(site.queue.now - begin)
    return _measurement("planned_stop_gap_s", gaps[0], "s", None, gaps[1], seed)


def measure_processes(seed: int) -> list[measurement.Measurement]:
    """Return CPU and memory of idle entry and agent processes.

    The higher value of the two roles is reported.
    """
    usage = control_processes.measure_nodes()
    cpu = sorted(u[0] for u in usage)
    rss = sorted(u[1] for u in usage)
    return [
        _measurement("control_cpu_percent", cpu[-1], "%", MAX_CPU_PERCENT, None, seed),
        _measurement("control_rss_mb", rss[-1], "MB", MAX_RSS_MB, None, seed),
    ]


def _has_new_leader(site: fake_site.FakeSite, old_leader: str) -> bool:
    if site.leader() in ("", old_leader):
        return False
    return _leader(site).raft.lease_remaining(site.queue.now) > 0


def _make_site(seed: int) -> fake_site.FakeSite:
    zones = tuple(f"zone-{i}" for i in range(DEPLOYMENT.zones))
    site = fake_site.FakeSite(zones, 0.0015, seed, 0.001)
    for zone in zones:
        site.start_entry(f"entry-{zone}", zone)
    site.queue.run_until(2.0)
    for zone in zones:
        site.change("zone_create", zone, region="local")
    site.queue.run_until(3.0)
    for class_id, upstream_count in enumerate(DEPLOYMENT.class_sizes):
        name = f"class-{class_id}"
        site.change("class_create", name, capacity=1000, answer_ms=2000)
        for number in range(upstream_count):
            agent = f"{name}-{number}"
            site.start_upstream(
                agent, upstream_profile.UpstreamProfile(DEPLOYMENT.slots, 0.05, 2.0)
            )
            site.start_agent(name, agent, zones[number % len(zones)])
    return site


def _send_all(
    site: fake_site.FakeSite, bodies: list[dict[str, object]]
) -> dict[str, dict[str, object]]:
    """Send each command to all running instances; return the definite answers."""
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


def _zone_name(command_id: str) -> str:
    return f"extra-{command_id.rpartition('-')[2]}"


def _records(site: fake_site.FakeSite) -> dict[str, object]:
    return dict(_leader(site).catalog.table.records)


def _is_in_force(site: fake_site.FakeSite, call: int) -> bool:
    revision = site.answers[call][1]["revision"]
    assert isinstance(revision, int)
    nodes = itertools.chain(site.entries.values(), site.agents.values())
    return all(_revision(node.core) >= revision for node in nodes)


def _revision(node: object) -> int:
    assert isinstance(node, entry_core.EntryCore | agent_core.AgentCore)
    return node.link.table.revision


def _leader(site: fake_site.FakeSite) -> control_core.ControlCore:
    leader = site.controls[site.leader()].core
    assert isinstance(leader, control_core.ControlCore)
    return leader


def _primaries(members: list[member_record.MemberRecord]) -> list[str]:
    assignment = class_assignment.ClassAssignment(1, members)
    candidates = (
        assignment.lookup(b) for b in range(class_assignment.BUCKETS_PER_CLASS)
    )
    return [c.primary.name for c in candidates if c is not None]


def _delta_bytes(state: catalog.Catalog, revision: int, scope: str) -> int:
    source = delta_source.DeltaSource(state.table)
    request = delta_request.DeltaRequest(
        revision=revision, count=delta_source.MAX_PARTS_PER_REQUEST, scope=scope
    )
    return sum(
        len(message_codec.encode(part)) + FRAME_OVERHEAD_BYTES
        for part in source.parts(request)
    )


def _join(number: int, incarnation: int = 1) -> member_joined.MemberJoined:
    return member_joined.MemberJoined(
        name=f"bookings-{number}",
        role=role.Role.AGENT,
        class_name="bookings",
        zone=f"zone-{number % DEPLOYMENT.zones}",
        region="local",
        host="127.0.0.1",
        port=7000,
        incarnation=incarnation,
        share=deployment.INITIAL_SHARE,
        state=member_state.MemberState.ACTIVE,
    )


def _measurement(
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
        DEPLOYMENT.name,
    )
