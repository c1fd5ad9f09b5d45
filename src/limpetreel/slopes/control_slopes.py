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
    gauge,
    raft_group,
    sample_site,
    slope,
)
from limpetreel.storage import folder_disk, log_store
from limpetreel.wire import address, frame, frame_codec, kind, message_codec

KEY = b"measurement cluster key"
RENEWALS_PER_BATCH = 200
FRAME_BYTES = frame.HEADER.size + frame.TAG_BYTES


def slopes(
    sizes: tuple[float, float, float], repeats: int, scratch: pathlib.Path
) -> list[slope.Slope]:
    """Return the slopes.

    Parameters
    ----------
    sizes : tuple of float
        Parts of the design size.
    repeats : int
        Calls of which the least processor time counts.
    scratch : pathlib.Path
        Folder on the disk that is measured.
    """
    return [
        *_renewals(sizes, repeats),
        *_tables(sizes, repeats),
        *_disk(repeats, scratch),
        *_peers(),
        *_fetches(sizes),
    ]


def build(scale: float) -> control_core.ControlCore:
    """Return the leader of a cluster of one with a table of a part of the size."""
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
    scan: dict[float, float] = {}
    for scale in sizes:
        count = float(round(design_size.NODES * scale))
        renewal[count], scan[count] = _renewal_us(scale, repeats)
    reports = {
        float(n): float(len(renewal_report.encode(_report(n)))) for n in (20, 80, 200)
    }
    decoding = {
        float(n): gauge.least_us(
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
            scan,
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
    own = frame_codec.FrameCodec(KEY, 1, 1)
    best = scan = float("inf")
    for turn in range(repeats):
        chosen = random.Random(turn).sample(
            members, min(RENEWALS_PER_BATCH, len(members))
        )
        frames = [_renewal_frame(m, turn, digest) for m in chosen]
        started = time.process_time()
        for data in frames:
            found = own.decode(data)
            assert not isinstance(found, failure.Failure)
            source = address.Address(0x7F000002, 7_000)
            for action in core.handle(now, frame_arrived.FrameArrived(source, found)):
                if isinstance(action, send_frame.SendFrame):
                    own.encode(action.kind, action.target, action.body)
        best = min(best, (time.process_time() - started) / len(frames))
        # A step of the tracker's clock so short that no member counts as silent.
        now += 0.02
        tracker = core._tracker
        assert tracker is not None
        started = time.process_time()
        tracker.tick(now, core.catalog.table)
        scan = min(scan, time.process_time() - started)
    return best * gauge.MICROSECONDS, scan * gauge.MICROSECONDS


def _renew(item: member_record.MemberRecord, nonce: int, digest: int) -> renew.Renew:
    return renew.Renew(
        item.name,
        item.role,
        item.class_name,
        item.zone,
        item.region,
        item.host,
        item.port,
        item.incarnation,
        10_000,
        digest,
        600 if item.role is role.Role.AGENT else 0,
        False,
        False,
        nonce,
    )


def _renewal_frame(item: member_record.MemberRecord, turn: int, digest: int) -> bytes:
    codec = frame_codec.FrameCodec(KEY, item.node_id, item.incarnation + turn)
    body = message_codec.encode(_renew(item, turn, digest))
    return codec.encode(kind.Kind.MESSAGE, frame.ANY_INCARNATION, body)


def _report(count: int) -> renewal_report.RenewalReport:
    items = [sample_site.agent(i, i) for i in range(count)]
    return renewal_report.RenewalReport(
        tuple(_renew(m, 1 << 20, 1 << 62) for m in items)
    )


def _tables(sizes: tuple[float, float, float], repeats: int) -> list[slope.Slope]:
    rows: dict[str, dict[float, float]] = {
        k: {} for k in ("fetch", "encode", "snapshot", "save", "memory", "resident")
    }
    for scale in sizes:
        items = sample_site.records(scale)
        count = float(len(items))
        rows["fetch"][count], rows["encode"][count] = _full_fetch(items)
        made = _catalog(items)
        rows["snapshot"][count] = float(len(made.snapshot()))
        rows["save"][count] = gauge.least_us(made.snapshot, repeats) / 1e3
        rows["memory"][count] = gauge.held_bytes(functools.partial(build, scale)) / 1e6
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
    found = [
        slope.fit(name, "records", unit, rows[key], design_size.RECORDS)
        for key, (name, unit) in names.items()
    ]
    per_day = design_size.CHANGES_PER_DAY + 3 * design_size.RESTARTS_PER_DAY
    found.append(
        slope.fit(
            "control.delta",
            "changed records since the node's revision",
            "bytes with frame",
            changes,
            per_day / 86_400 * 0.5,
        )
    )
    return found


def _full_fetch(items: list) -> tuple[float, float]:
    records = table.Table()
    records.replace(items, 10_000, 10_000)
    source = delta_source.DeltaSource(records, 16 * 1024 * 1024)
    first = delta_request.DeltaRequest(0, count=1)
    started = time.process_time()
    parts = source.parts(first)
    spent = time.process_time() - started
    total = parts[0].parts
    size = 0
    for part in range(total):
        asked = msgspec.structs.replace(
            first, part=part, to_revision=parts[0].to_revision
        )
        size += sum(
            len(message_codec.encode(p)) + FRAME_BYTES for p in source.parts(asked)
        )
    return float(size), spent * 1e3


def _delta_bytes(changes: int) -> int:
    records = table.Table()
    records.replace(sample_site.records(0.1), 10_000, 1)
    items = [
        msgspec.structs.replace(sample_site.agent(i, i), share=9, modified=10_001 + i)
        for i in range(changes)
    ]
    records.apply(items, 10_000 + changes)
    source = delta_source.DeltaSource(records)
    parts = source.parts(delta_request.DeltaRequest(10_000, count=16))
    return sum(len(message_codec.encode(p)) + FRAME_BYTES for p in parts)


def _catalog(items: list) -> catalog.Catalog:
    made = catalog.Catalog()
    made.table.replace(items, 10_000, 10_000)
    return made


def _fetches(sizes: tuple[float, float, float]) -> list[slope.Slope]:
    scale = sizes[-1]
    entries = design_size.ENTRIES / design_size.CONTROL_INSTANCES
    agents = design_size.AGENTS / design_size.CONTROL_INSTANCES
    unit = "s until the last one has its table, simulated"
    storms = {}
    known_storms = {}
    agent_storms = {}
    known = round(agents)
    scope = {}
    # Tiny sizes must differ after rounding as well.
    for least, size in enumerate(sizes, start=2):
        count = max(least, round(entries * size))
        storms[float(count)] = fetch_storm.seconds(count, 0, scale)
        known_storms[float(count)] = fetch_storm.seconds(count, 0, scale, known)
        count = max(least, round(agents * size))
        agent_storms[float(count)] = fetch_storm.seconds(0, count, scale)
        records = sample_site.records(size)
        scope[float(round(design_size.ENTRIES * size))] = _scope_bytes(records)
    return [
        slope.fit(
            "control.entries_fetch_at_once",
            "entries at one control instance",
            unit,
            storms,
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
            scope,
            design_size.ENTRIES,
        ),
    ]


def _scope_bytes(items: list) -> float:
    records = table.Table()
    records.replace(items, 10_000, 10_000)
    source = delta_source.DeltaSource(records)
    scope = "class-00000"
    parts = source.parts(delta_request.DeltaRequest(0, count=16, scope=scope))
    return float(sum(len(p.body) for p in parts))


def _disk(repeats: int, scratch: pathlib.Path) -> list[slope.Slope]:
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


def _entries(first: int, count: int) -> tuple[entry.Entry, ...]:
    found = []
    for i in range(first, first + count):
        number = i % design_size.AGENTS
        item = sample_site.agent(number, number % design_size.CLASSES)
        command = share_changed.ShareChanged(item.name, item.incarnation, i % 64 + 1)
        data = command_codec.encode(command)
        found.append(entry.Entry(i, 1, entry_kind.EntryKind.DATA, data))
    return tuple(found)


def _open(folder: str) -> log_store.LogStore:
    return log_store.LogStore(folder_disk.FolderDisk(pathlib.Path(folder)))


def _sync_ms(batch: int, repeats: int, scratch: pathlib.Path) -> float:
    with tempfile.TemporaryDirectory(dir=scratch) as folder:
        store = _open(folder)
        store.create("control", 1, (member.Member("control", 1, "control"),))
        store.recover()
        times = []
        for i in range(10 * repeats):
            action = persist.Persist(1, "", 0, _entries(1 + i * batch, batch))
            started = time.monotonic()
            store.persist(action)
            times.append(time.monotonic() - started)
        store.close()
    return sorted(times)[len(times) // 2] * 1e3


def _recovery_ms(count: int, scratch: pathlib.Path) -> float:
    with tempfile.TemporaryDirectory(dir=scratch) as folder:
        store = _open(folder)
        store.create("control", 1, (member.Member("control", 1, "control"),))
        store.recover()
        for found in _entries(1, count):
            store.persist(persist.Persist(1, "", 0, (found,)))
        store.close()
        started = time.monotonic()
        store = _open(folder)
        durable = store.recover()
        assert durable is not None
        made = _catalog(sample_site.records(1.0))
        for item in durable.entries:
            made.apply(item.index + 10_000, item.data)
        spent = time.monotonic() - started
        store.close()
    return spent * 1e3


def _peers() -> list[slope.Slope]:
    rest = {float(n): raft_group.leader_bytes_per_second(n) for n in (3, 5, 7, 9)}
    return [
        slope.fit(
            "control.heartbeat_bytes",
            "control instances",
            "bytes/s sent and received by the leader without renewal reports",
            rest,
            design_size.CONTROL_INSTANCES,
        )
    ]
