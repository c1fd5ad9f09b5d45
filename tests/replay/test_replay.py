"""A replay must agree with a valid log and find the first difference in any other."""

from __future__ import annotations

import contextlib
import pathlib
import random
import tempfile
import time

import msgspec

from limpetreel import factory
from limpetreel.agent.actions import send_upstream
from limpetreel.agent.events import (
    drain_requested,
    upstream_announced,
    upstream_datagram,
)
from limpetreel.consensus import member
from limpetreel.consensus.actions import persist, save_snapshot
from limpetreel.control.events import operator_call
from limpetreel.core import failure
from limpetreel.entry.events import caller_datagram
from limpetreel.node import frame_arrived, leave_requested, tick
from limpetreel.replay import (
    core_state,
    entry_filter,
    full_filter,
    header,
    record_codec,
    recorded_event,
    recorder,
    replayer,
)
from limpetreel.storage import folder_disk, log_store
from limpetreel.telemetry import rotating_file
from limpetreel.wire import address, frame, kind, mode, packet
from tests import builders, fixtures

CALLERS = [address.Address(0x0A000000 + i, 4000 + i) for i in range(20)]


@contextlib.contextmanager
def _folder():
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)


def _event_handler(target, record):
    def handle(now, event):
        actions = target.handle(now, event)
        record(now, event, actions)
        return actions

    return handle


def _run_entry(target, record, packets, rng):
    """Feed an entry core a table, leases, packets and answers."""
    handle = _event_handler(target, record)
    control = builders.Control()
    now = builders.settle(target, handle)
    for _ in range(packets):
        now += 0.02
        for event in control.answers(handle(now, tick.Tick())):
            handle(now, event)
        caller = rng.choice(CALLERS)
        handle(now, caller_datagram.CallerDatagram(builders.CLASS_ID, caller, b"x"))
        handle(now, _return(caller, rng.getrandbits(1)))
    handle(now, leave_requested.LeaveRequested())


def _run_agent(target, record, packets, rng):
    """Feed an agent core announcements, a table, leases, requests and answers."""
    handle = _event_handler(target, record)
    control = builders.Control()
    ready = upstream_announced.UpstreamAnnounced(builders.CLASS_NAME, "r1", False)
    handle(0.0, ready)
    now = builders.settle(target, handle)
    served = 0
    for number in range(packets):
        now += 0.02
        for event in control.answers(handle(now, tick.Tick())):
            handle(now, event)
        caller = rng.choice(CALLERS)
        actions = handle(now, _forward(caller, builders.request(message_id=number)))
        for sent in actions:
            if isinstance(sent, send_upstream.SendUpstream):
                reply = b"\x68\x45" + sent.datagram[2:4] + sent.datagram[4:12]
                handle(now, upstream_datagram.UpstreamDatagram(caller, reply))
                served += 1
    assert served
    handle(now, drain_requested.DrainRequested())
    handle(now, leave_requested.LeaveRequested())


def _packet(caller, trace_id, datagram):
    return packet.Packet(
        class_id=builders.CLASS_ID,
        bucket=1,
        hops=0,
        mode=mode.Mode.FIND,
        lease_ms=0,
        revision=3,
        trace_id=trace_id,
        caller=caller,
        entry=address.Address(0x7F000001, 7000),
        datagram=datagram,
    )


def _return(caller, trace_id):
    body = packet.encode(_packet(caller, trace_id, b"answer"))
    sender = builders.records()[-1].node_id
    received = frame.Frame(
        kind.Kind.RETURN, sender, builders.AGENT_INCARNATION, 9, body
    )
    return frame_arrived.FrameArrived(builders.CONTROL, received)


def _forward(caller, datagram):
    body = packet.encode(_packet(caller, 7, datagram))
    received = frame.Frame(kind.Kind.FORWARD, 2, 9, 9, body)
    return frame_arrived.FrameArrived(builders.CONTROL, received)


ROLES = (
    ("entry", builders.entry_cfg, entry_filter.EntryFilter, _run_entry),
    ("agent", builders.agent_cfg, lambda _: full_filter.FullFilter(), _run_agent),
)


def _record(role, folder, packets=200, limit=10_000_000):
    """Record a run of a role and return the path of its log."""
    name, cfg, build_filter, run = role
    path = folder / "decisions"
    target = builders.core(cfg(), name)
    first = builders.log_header(cfg(), name)
    file = rotating_file.RotatingFile(path, limit)
    log = recorder.Recorder(file, first, target, build_filter(target))
    run(target, log.record, packets, random.Random(1))
    log.close()
    assert log.problem is None and not file.write_errors
    return path


def _replay(data):
    return replayer.Replayer(factory.build_core).run(data)


def test_replay_agrees():
    """Guards against cores that depend on more than settings, seed and events."""
    for role in ROLES:
        with _folder() as folder:
            result = _replay(_record(role, folder).read_bytes())
        assert not result.difference and not result.problem, result
        assert result.agreed > 100 and not result.is_torn


def test_entry_log_omits_unsampled_packets():
    """Guards against a log that grows with every packet of an entry."""
    with _folder() as folder:
        data = _record(ROLES[0], folder, packets=400).read_bytes()
    events = [
        r
        for r in record_codec.decode(data)
        if isinstance(r, recorded_event.RecordedEvent)
    ]
    assert sum(e.skipped for e in events) > 100
    # Half the packets and half the answers are sampled; in 12 s there are about 24
    # renewals with their answers and 24 probe times.
    assert len(events) < 400 + 12 * 8


def test_rotated_log_replays_without_earlier_files():
    """Guards against a bounded log whose remaining part cannot be replayed."""
    for role in ROLES:
        with _folder() as folder:
            path = _record(role, folder, packets=1000, limit=40_000)
            earlier = path.with_name("decisions.1")
            # Each file holds the limit, one event beyond it and the state.
            assert path.stat().st_size < 500_000 > earlier.stat().st_size
            for part in (path, earlier):
                result = _replay(part.read_bytes())
                assert not result.difference + result.problem, result
            # The newest file may have begun with the last event.
            assert result.agreed


def test_changed_decision_is_found():
    """Guards against a replay that does not compare the decisions."""
    with _folder() as folder:
        data = _record(ROLES[1], folder).read_bytes()
    parts = [record_codec.MAGIC]
    number = 0
    for record in record_codec.decode(data):
        if isinstance(record, recorded_event.RecordedEvent):
            if number == 50:
                record = msgspec.structs.replace(record, digest=record.digest ^ 1)
            number += 1
        parts.append(record_codec.encode(record))
    result = _replay(b"".join(parts))
    assert result.agreed == 50 and result.difference.startswith("event 50 ")


def test_replay_uses_the_recorded_settings():
    """Guards against a replay that ignores the settings in the header."""
    with _folder() as folder:
        data = _record(ROLES[0], folder).read_bytes()
    records = list(record_codec.decode(data))
    records[0] = builders.log_header(builders.entry_cfg(name="entry-2"), "entry")
    encoded = b"".join(record_codec.encode(r) for r in records)
    assert _replay(record_codec.MAGIC + encoded).difference


def test_damaged_logs_are_reported():
    """Guards against exceptions and against agreement on a damaged file."""
    with _folder() as folder:
        data = _record(ROLES[1], folder, packets=20).read_bytes()
    undamaged = _replay(data).agreed
    ends = {len(record_codec.MAGIC)}
    for record in record_codec.decode(data):
        ends.add(max(ends) + len(record_codec.encode(record)))
    assert max(ends) == len(data)
    for size in {*range(0, len(data), len(data) // 25), *sorted(ends)[:-1]}:
        result = _replay(data[:size])
        assert result.agreed < undamaged and not result.difference
        # Only a file that ends with a whole record looks undamaged.
        assert result.is_torn or result.problem or size in ends
    rng = random.Random(1)
    for _ in range(40):
        offset = rng.randrange(len(data))
        altered = data[:offset] + bytes([data[offset] ^ 0xFF]) + data[offset + 1 :]
        result = _replay(altered)
        assert result.problem or result.is_torn
    for invalid in (b"", b"#!/bin/sh", record_codec.MAGIC):
        assert _replay(invalid).problem


def test_state_cannot_run_other_code():
    """Guards against an untrusted log that runs code when it is replayed."""
    for state in (
        b"cos\nsystem\n(S'true'\ntR.",
        b"climpetreel.runtime.udp_socket\nUdpSocket\n(tR.",
        b"climpetreel.agent.agent_shell\nAgentShell\n(tR.",
        b"climpetreel.factory\nbuild_core\n(tR.",
        b"cbuiltins\neval\n(S'1'\ntR.",
        b"cbuiltins\ngetattr\n(cbuiltins\ndict\nS'clear'\ntR.",
        b"",
        b"\x80\x05N.",
    ):
        assert isinstance(core_state.load(state), failure.Failure), state


def test_control_replay_agrees():
    """Guards against a control core whose log cannot be replayed."""
    with _folder() as folder:
        store = log_store.LogStore(folder_disk.FolderDisk(folder))
        founder = member.Member("control-1", 1, "127.0.0.1:1")
        store.create("control-1", 1, (founder,))
        store.close()
        cfg = builders.control_cfg(data=folder, decision_log="decisions")
        shell = factory.build_control(cfg)
        now = time.monotonic()
        command = {"type": "zone_create", "name": "a", "region": "r", "expected": 0}
        for number in range(300):
            now += 0.02
            _control_step(shell, now, tick.Tick())
            if number % 20 == 0:
                body = msgspec.json.encode({**command, "command_id": str(number)})
                event = operator_call.OperatorCall(number, body)
                _control_step(shell, now, event)
        shell._telemetry._decisions.close()
        shell._telemetry._log.close()
        shell._store.close()
        result = _replay((folder / "decisions").read_bytes())
        assert shell._core.catalog.table.zone("a") is not None
    assert result.agreed == 315 and not result.difference + result.problem, result


def _control_step(shell, now, event):
    """Pass an event to a control core, record the decision and store its results."""
    actions = shell._core.handle(now, event)
    shell._telemetry.record_decision(now, event, actions)
    for action in actions:
        if isinstance(action, persist.Persist | save_snapshot.SaveSnapshot):
            shell._execute(action)


def test_header_holds_no_secret():
    """Guards against keys in a file that operators share."""
    with _folder() as folder:
        cfg = builders.entry_cfg(data=folder, decision_log="decisions")
        shell = factory.build_entry(cfg)
        shell._telemetry._decisions.close()
        data = (folder / "decisions").read_bytes()
    assert builders.CLUSTER_KEY not in data
    first = next(record_codec.decode(data))
    assert isinstance(first, header.Header) and first.role == "entry"


def test_full_disk_does_not_stop_the_node():
    """Guards against a node that fails because its decision log cannot be written."""
    file = rotating_file.RotatingFile(pathlib.Path("/dev/full"), 1000)
    target = builders.core(builders.agent_cfg(), "agent")
    first = builders.log_header(builders.agent_cfg(), "agent")
    missing = rotating_file.RotatingFile(pathlib.Path("/nonexistent/log"), 1000)
    for broken in (missing, file):
        broken.rotate = lambda: None
        log = recorder.Recorder(broken, first, target, full_filter.FullFilter())
        for _ in range(10):
            log.record(0.0, tick.Tick(), [])
        log.flush()
        log.close()
        assert broken.write_errors


load_tests = fixtures.load_functions(globals())
