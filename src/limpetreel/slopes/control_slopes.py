"""Slopes of a control instance."""

from __future__ import annotations

import functools
import pathlib
import random
import tempfile
import time

import msgspec

from limpetreel.catalog import catalog, delta_source, member_record, role, table
from limpetreel.catalog.commands import bootstrap, command_codec, share_changed
from limpetreel.consensus import (
    durable_state,
    entry,
    entry_kind,
    member,
    raft_core,
    snapshot,
)
from limpetreel.consensus.actions import persist
from limpetreel.control import control_core
from limpetreel.control.messages import renewal_report
from limpetreel.core import failure
from limpetreel.messages import delta_request, renew
from limpetreel.node import frame_arrived, send_frame, tick
from limpetreel.slopes import (
    child,
    design_size,
    fetch_storm,
    raft_group,
    resource_usage,
    sample_site,
    slope,
)
from limpetreel.storage import folder_disk, log_store
from limpetreel.wire import address, frame, frame_codec, kind, message_codec

KEY = b"measurement cluster key"
RENEWALS_PER_BATCH = 200
FRAME_OVERHEAD_BYTES = frame.HEADER.size + frame.TAG_BYTES


def slopes(
    sizes: tuple[float, float, float], repeats: int, scratch: pathlib.Path
) -> list[slope.Slope]:
    """Return the slopes of renewals, tables, the disk, heartbeats and fetches.

    Parameters
    ----------
    sizes : tuple of float
        Ratios of the design size at which to measure.
    repeats : int
        Number of calls, of which the shortest one counts.
    scratch : pathlib.Path
        Directory on the disk that is measured.
    """
    return [
        *_renewals(sizes, repeats),
        *_table_costs(sizes, repeats),
        *_disk_times(repeats, scratch),
        *_heartbeats(),
        *_fetch_storms(sizes),
    ]


def build(scale: float) -> control_core.ControlCore:
    """Return the leader of a one-member cluster with a table of the given scale."""
    members = (member.Member("control", 1, "control"),)
    durable = durable_state.DurableState(
        "control", 1, 0, "", snapshot.Snapshot(0, 0, members)
    )
    raft = raft_core.RaftCore(durable, random.Random(1), "control")
    core = control_core.ControlCore(
        0.0, raft, bootstrap.Bootstrap(20_000, 29_999), "control"
    )
    for i in range(100):
        core.handle(i * 0.02, tick.Tick())
    core.catalog.table.replace(sample_site.records(scale), 10_000, 10_000)
    return core


def _renewals(sizes: tuple[float, float, float], repeats: int) -> list[slope.Slope]:
    renewal: dict[float, float] = {}
    scans: dict[float, float] = {}
    for scale in sizes:
        count = float(round(design_size.NODES * scale))
        renewal[count], scans[count] = _renewal_us(scale, repeats)
    reports = {
        float(n): float(len(renewal_report.encode(_report(n)))) for n in (20, 80, 200)
    }
    decoding = {
        float(n): resource_usage.min_cpu_us(
            functools.partial(renewal_report.decode, renewal_report.encode(_report(n))),
            10 * repeats,
        )
        for n in (20, 80, 200)
    }
    nodes = design_size.NODES
    return [
        slope.fit(
            "control.renewal",
            "nodes",
            "us processor time per renewal at the leader, without socket",
            renewal,
            nodes,
        ),
        slope.fit(
            "control.silence_scan",
            "nodes",
            "us processor time per scan, two a second",
            scans,
            nodes,
        ),
        slope.fit(
            "control.report_bytes", "renewals in a report", "bytes", reports, 200
        ),
        slope.fit(
            "control.report_decode",
            "renewals in a report",
            "us processor time",
            decoding,
            200,
        ),
    ]


def _renewal_us(scale: float, repeats: int) -> tuple[float, float]:
    core = build(scale)
    now = 2.0
    members = core.catalog.table.members()
    digest = core.catalog.table.digest
    codec = frame_codec.FrameCodec(KEY, 1, 1)
    shortest_s = shortest_scan_s = float("inf")
    for round_number in range(repeats):
        chosen = random.Random(round_number).sample(
            members, min(RENEWALS_PER_BATCH, len(members))
        )
        frames = [_renewal_frame(m, round_number, digest) for m in chosen]
        started = time.process_time()
        for data in frames:
            received = codec.decode(data)
            assert not isinstance(received, failure.Failure)
            source = address.Address(0x7F000002, 7_000)
            for action in core.handle(
                now, frame_arrived.FrameArrived(source, received)
            ):
                if isinstance(action, send_frame.SendFrame):
                    codec.encode(action.kind, action.target, action.body)
        shortest_s = min(shortest_s, (time.process_time() - started) / len(frames))
        # Advance the clock so little that the tracker considers no member lost.
        now += 0.02
        tracker = core._tracker
        assert tracker is not None
        started = time.process_time()
        tracker.tick(now, core.catalog.table)
        shortest_scan_s = min(shortest_scan_s, time.process_time() - started)
    return (
        shortest_s * resource_usage.MICROSECONDS,
        shortest_scan_s * resource_usage.MICROSECONDS,
    )


def _renew(record: member_record.MemberRecord, nonce: int, digest: int) -> renew.Renew:
    return renew.Renew(
        record.name,
        record.role,
        record.class_name,
        record.zone,
        record.region,
        record.host,
        record.port,
        record.incarnation,
        10_000,
        digest,
        600 if record.role is role.Role.AGENT else 0,
        False,
        False,
        nonce,
    )


def _renewal_frame(
    record: member_record.MemberRecord, round_number: int, digest: int
) -> bytes:
    codec = frame_codec.FrameCodec(
        KEY, record.node_id, record.incarnation + round_number
    )
    body = message_codec.encode(_renew(record, round_number, digest))
    return codec.encode(kind.Kind.MESSAGE, frame.ANY_INCARNATION, body)


def _report(count: int) -> renewal_report.RenewalReport:
    records = [sample_site.agent(i, i) for i in range(count)]
    return renewal_report.RenewalReport(
        tuple(_renew(m, 1 << 20, 1 << 62) for m in records)
    )


def _table_costs(sizes: tuple[float, float, float], repeats: int) -> list[slope.Slope]:
    rows: dict[str, dict[float, float]] = {
        k: {} for k in ("fetch", "encode", "snapshot", "save", "memory", "resident")
    }
    for scale in sizes:
        records = sample_site.records(scale)
        count = float(len(records))
        rows["fetch"][count], rows["encode"][count] = _full_fetch(records)
        filled = _catalog(records)
        rows["snapshot"][count] = float(len(filled.snapshot()))
        rows["save"][count] = resource_usage.min_cpu_us(filled.snapshot, repeats) / 1e3
        rows["memory"][count] = (
            resource_usage.retained_bytes(functools.partial(build, scale)) / 1e6
        )
        rows["resident"][count] = child.resident_mb("control", scale)
    changes = {float(n): float(_delta_bytes(n)) for n in (1, 10, 100)}
    names = {
        "fetch": ("control.full_fetch", "bytes with frames"),
        "encode": ("control.full_fetch_build", "ms processor time"),
        "snapshot": ("control.snapshot_size", "bytes"),
        "save": ("control.snapshot_build", "ms processor time"),
        "memory": ("control.catalog_memory", "MB of Python objects"),
        "resident": ("control.catalog_resident", "MB resident"),
    }
    fitted = [
        slope.fit(name, "records", unit, rows[key], design_size.RECORDS)
        for key, (name, unit) in names.items()
    ]
    per_day = design_size.CHANGES_PER_DAY + 3 * design_size.RESTARTS_PER_DAY
    fitted.append(
        slope.fit(
            "control.delta",
            "changed records since the node's revision",
            "bytes with frame",
            changes,
            per_day / 86_400 * 0.5,
        )
    )
    return fitted


def _full_fetch(records: list) -> tuple[float, float]:
    site_table = table.Table()
    site_table.replace(records, 10_000, 10_000)
    source = delta_source.DeltaSource(site_table, 16 * 1024 * 1024)
    first = delta_request.DeltaRequest(0, count=1)
    started = time.process_time()
    parts = source.parts(first)
    elapsed = time.process_time() - started
    part_count = parts[0].parts
    size = 0
    for part in range(part_count):
        request = msgspec.structs.replace(
            first, part=part, to_revision=parts[0].to_revision
        )
        size += sum(
            len(message_codec.encode(p)) + FRAME_OVERHEAD_BYTES
            for p in source.parts(request)
        )
    return float(size), elapsed * 1e3


def _delta_bytes(changes: int) -> int:
    site_table = table.Table()
    site_table.replace(sample_site.records(0.1), 10_000, 1)
    changed = [
        msgspec.structs.replace(sample_site.agent(i, i), share=9, modified=10_001 + i)
        for i in range(changes)
    ]
    site_table.apply(changed, 10_000 + changes)
    source = delta_source.DeltaSource(site_table)
    parts = source.parts(delta_request.DeltaRequest(10_000, count=16))
    return sum(len(message_codec.encode(p)) + FRAME_OVERHEAD_BYTES for p in parts)


def _catalog(records: list) -> catalog.Catalog:
    filled = catalog.Catalog()
    filled.table.replace(records, 10_000, 10_000)
    return filled


def _fetch_storms(sizes: tuple[float, float, float]) -> list[slope.Slope]:
    scale = sizes[-1]
    entries = design_size.ENTRIES / design_size.CONTROL_INSTANCES
    agents = design_size.AGENTS / design_size.CONTROL_INSTANCES
    unit = "s until the last one has its table, simulated"
    entry_storms = {}
    known_storms = {}
    agent_storms = {}
    known = round(agents)
    fetch_sizes = {}
    # The counts must differ even if tiny sizes round to the same number.
    for min_count, size in enumerate(sizes, start=2):
        count = max(min_count, round(entries * size))
        entry_storms[float(count)] = fetch_storm.completion_seconds(count, 0, scale)
        known_storms[float(count)] = fetch_storm.completion_seconds(
            count, 0, scale, known
        )
        count = max(min_count, round(agents * size))
        agent_storms[float(count)] = fetch_storm.completion_seconds(0, count, scale)
        records = sample_site.records(size)
        fetch_sizes[float(round(design_size.ENTRIES * size))] = _class_fetch_bytes(
            records
        )
    return [
        slope.fit(
            "control.entries_fetch_at_once",
            "entries at one control instance",
            unit,
            entry_storms,
            entries,
        ),
        slope.fit(
            "control.entries_fetch_at_once_agents_known",
            "entries at one control instance that knows its agents",
            unit,
            known_storms,
            entries,
        ),
        slope.fit(
            "control.agents_fetch_at_once",
            "agents at one control instance",
            unit,
            agent_storms,
            agents,
        ),
        slope.fit(
            "control.agent_fetch",
            "entries in the table",
            "bytes of a delta body for one agent",
            fetch_sizes,
            design_size.ENTRIES,
        ),
    ]


def _class_fetch_bytes(records: list) -> float:
    site_table = table.Table()
    site_table.replace(records, 10_000, 10_000)
    source = delta_source.DeltaSource(site_table)
    scope = "class-00000"
    parts = source.parts(delta_request.DeltaRequest(0, count=16, scope=scope))
    return float(sum(len(p.body) for p in parts))


def _disk_times(repeats: int, scratch: pathlib.Path) -> list[slope.Slope]:
    sync = {float(n): _sync_ms(n, repeats, scratch) for n in (1, 10, 100)}
    recovery = {float(n): _recovery_ms(n, scratch) for n in (2_500, 5_000, 10_000)}
    return [
        slope.fit(
            "control.log_sync",
            "proposals in a batch",
            "ms by the clock, median",
            sync,
            10,
        ),
        slope.fit(
            "control.recovery",
            "log records of one proposal",
            "ms by the clock, read and applied",
            recovery,
            10_000,
        ),
    ]


def _log_entries(first: int, count: int) -> tuple[entry.Entry, ...]:
    log_entries = []
    for i in range(first, first + count):
        number = i % design_size.AGENTS
        record = sample_site.agent(number, number % design_size.CLASSES)
        command = share_changed.ShareChanged(
            record.name, record.incarnation, i % 64 + 1
        )
        data = command_codec.encode(command)
        log_entries.append(entry.Entry(i, 1, entry_kind.EntryKind.DATA, data))
    return tuple(log_entries)


def _open_store(folder: str) -> log_store.LogStore:
    return log_store.LogStore(folder_disk.FolderDisk(pathlib.Path(folder)))


def _sync_ms(batch: int, repeats: int, scratch: pathlib.Path) -> float:
    with tempfile.TemporaryDirectory(dir=scratch) as folder:
        store = _open_store(folder)
        store.create("control", 1, (member.Member("control", 1, "control"),))
        store.recover()
        times = []
        for i in range(10 * repeats):
            action = persist.Persist(1, "", 0, _log_entries(1 + i * batch, batch))
            started = time.monotonic()
            store.persist(action)
            times.append(time.monotonic() - started)
        store.close()
    return sorted(times)[len(times) // 2] * 1e3


def _recovery_ms(count: int, scratch: pathlib.Path) -> float:
    with tempfile.TemporaryDirectory(dir=scratch) as folder:
        store = _open_store(folder)
        store.create("control", 1, (member.Member("control", 1, "control"),))
        store.recover()
        for log_entry in _log_entries(1, count):
            store.persist(persist.Persist(1, "", 0, (log_entry,)))
        store.close()
        started = time.monotonic()
        store = _open_store(folder)
        durable = store.recover()
        assert durable is not None
        filled = _catalog(sample_site.records(1.0))
        for log_entry in durable.entries:
            filled.apply(log_entry.index + 10_000, log_entry.data)
        elapsed = time.monotonic() - started
        store.close()
    return elapsed * 1e3


def _heartbeats() -> list[slope.Slope]:
    idle = {float(n): raft_group.leader_bytes_per_second(n) for n in (3, 5, 7, 9)}
    return [
        slope.fit(
            "control.heartbeat_bytes",
            "control instances",
            "bytes/s sent and received by the leader without renewal reports",
            idle,
            design_size.CONTROL_INSTANCES,
        )
    ]
