"""A replay must agree with an honest log and find the first difference in any other."""

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


def _feeder(target, record):
    def feed(now, event):
        actions = target.handle(now, event)
        record(now, event, actions)
        return actions

    return feed


def _run_entry(target, record, packets, rng):
    """Feed an entry core a table, leases, packets and answers."""
    feed = _feeder(target, record)
    control = builders.Control()
    now = builders.settle(target, feed)
    for _ in range(packets):
        now += 0.02
        for event in control.answers(feed(now, tick.Tick())):
            feed(now, event)
        caller = rng.choice(CALLERS)
        feed(now, caller_datagram.CallerDatagram(builders.CLASS_ID, caller, b"x"))
        feed(now, _return(caller, rng.getrandbits(1)))
    feed(now, leave_requested.LeaveRequested())


def _run_agent(target, record, packets, rng):
    """Feed an agent core announcements, a table, leases, requests and answers."""
    feed = _feeder(target, record)
    control = builders.Control()
    ready = upstream_announced.UpstreamAnnounced(builders.CLASS_NAME, "r1", False)
    feed(0.0, ready)
    now = builders.settle(target, feed)
    served = 0
    for number in range(packets):
        now += 0.02
        for event in control.answers(feed(now, tick.Tick())):
            feed(now, event)
        caller = rng.choice(CALLERS)
        actions = feed(now, _forward(caller, builders.request(message_id=number)))
        for sent in actions:
            if isinstance(sent, send_upstream.SendUpstream):
                reply = b"\x68\x45" + sent.datagram[2:4] + sent.datagram[4:12]
                feed(now, upstream_datagram.UpstreamDatagram(caller, reply))
                served += 1
    assert served
    feed(now, drain_requested.DrainRequested())
    feed(now, leave_requested.LeaveRequested())


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
    got = frame.Frame(kind.Kind.RETURN, sender, builders.AGENT_INCARNATION, 9, body)
    return frame_arrived.FrameArrived(builders.CONTROL, got)


def _forward(caller, datagram):
    body = packet.encode(_packet(caller, 7, datagram))
    got = frame.Frame(kind.Kind.FORWARD, 2, 9, 9, body)
    return frame_arrived.FrameArrived(builders.CONTROL, got)


ROLES = (
    ("entry", builders.entry_cfg, entry_filter.EntryFilter, _run_entry),
    ("agent", builders.agent_cfg, lambda _: full_filter.FullFilter(), _run_agent),
)


def _record(role, folder, packets=200, limit=10_000_000):
    """Record a run of a role and return the path of its log."""
    name, cfg, choose, run = role
    path = folder / "decisions"
    target = builders.core(cfg(), name)
    first = builders.log_header(cfg(), name)
    file = rotating_file.RotatingFile(path, limit)
    log = recorder.Recorder(file, first, target, choose(target))
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
            found = _replay(_record(role, folder).read_bytes())
        assert not found.difference and not found.problem, found
        assert found.agreed > 100 and not found.is_torn


def test_entry_leaves_unsampled_packets_out():
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


def test_rotated_log_replays_from_its_own_start():
    """Guards against a bounded log whose remaining part cannot be replayed."""
    for role in ROLES:
        with _folder() as folder:
            path = _record(role, folder, packets=1000, limit=40_000)
            earlier = path.with_name("decisions.1")
            # Each file holds the limit, one event beyond it and the state.
            assert path.stat().st_size < 500_000 > earlier.stat().st_size
            for part in (path, earlier):
                found = _replay(part.read_bytes())
                assert not found.difference + found.problem, found
            # The newest file may have begun with the last event.
            assert found.agreed


def test_changed_decision_is_found():
    """Guards against a replay that agrees with whatever it reads."""
    with _folder() as folder:
        data = _record(ROLES[1], folder).read_bytes()
    parts = [record_codec.MAGIC]
    number = 0
    for item in record_codec.decode(data):
        if isinstance(item, recorded_event.RecordedEvent):
            if number == 50:
                item = msgspec.structs.replace(item, digest=item.digest ^ 1)
            number += 1
        parts.append(record_codec.encode(item))
    found = _replay(b"".join(parts))
    assert found.agreed == 50 and found.difference.startswith("event 50 ")


def test_settings_are_part_of_the_decision():
    """Guards against a replay with other settings than the recorded ones."""
    with _folder() as folder:
        data = _record(ROLES[0], folder).read_bytes()
    items = list(record_codec.decode(data))
    items[0] = builders.log_header(builders.entry_cfg(name="entry-2"), "entry")
    encoded = b"".join(record_codec.encode(i) for i in items)
    assert _replay(record_codec.MAGIC + encoded).difference


def test_damaged_logs_are_reported():
    """Guards against exceptions, and against agreement, on a damaged file."""
    with _folder() as folder:
        data = _record(ROLES[1], folder, packets=20).read_bytes()
    whole = _replay(data).agreed
    for size in range(0, len(data), len(data) // 25):
        found = _replay(data[:size])
        assert found.agreed <= whole and not found.difference
        assert found.is_torn or found.problem or found.agreed <= whole
    rng = random.Random(1)
    for _ in range(40):
        place = rng.randrange(len(data))
        altered = data[:place] + bytes([data[place] ^ 0xFF]) + data[place + 1 :]
        found = _replay(altered)
        assert found.problem or found.is_torn
    for other in (b"", b"#!/bin/sh", record_codec.MAGIC):
        assert _replay(other).problem


def test_state_cannot_name_other_code():
    """Guards against a log from elsewhere that runs code when it is replayed."""
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
    """Guards against a control core that cannot be run again from its log."""
    with _folder() as folder:
        store = log_store.LogStore(folder_disk.FolderDisk(folder))
        own = member.Member("control-1", 1, "127.0.0.1:1")
        store.create("control-1", 1, (own,))
        store.close()
        cfg = builders.control_cfg(data=folder, decision_log="decisions")
        shell = factory.build_control(cfg)
        now = time.monotonic()
        wanted = {"type": "zone_create", "name": "a", "region": "r", "expected": 0}
        for number in range(300):
            now += 0.02
            _control_step(shell, now, tick.Tick())
            if number % 20 == 0:
                body = msgspec.json.encode({**wanted, "command_id": str(number)})
                event = operator_call.OperatorCall(number, body)
                _control_step(shell, now, event)
        shell._telemetry._decisions.close()
        shell._telemetry._log.close()
        shell._store.close()
        found = _replay((folder / "decisions").read_bytes())
        assert shell._core.catalog.table.zone("a") is not None
    assert found.agreed == 315 and not found.difference + found.problem, found


def _control_step(shell, now, event):
    """Let a control core handle an event at a given time, and store and record."""
    actions = shell._core.handle(now, event)
    shell._telemetry.record_decision(now, event, actions)
    for action in actions:
        if isinstance(action, persist.Persist | save_snapshot.SaveSnapshot):
            shell._execute(action)


def test_header_holds_no_secret():
    """Guards against keys in a file that operators pass on."""
    with _folder() as folder:
        cfg = builders.entry_cfg(data=folder, decision_log="decisions")
        shell = factory.build_entry(cfg)
        shell._telemetry._decisions.close()
        data = (folder / "decisions").read_bytes()
    assert builders.CLUSTER_KEY not in data
    first = next(record_codec.decode(data))
    assert isinstance(first, header.Header) and first.role == "entry"


def test_full_disk_does_not_stop_the_node():
    """Guards against a serving node that fails because its log cannot be written."""
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
