"""Bad input on the sockets of an agent must be counted and change nothing."""

from __future__ import annotations

import functools

import hypothesis
import msgspec
from hypothesis import strategies as st

from limpetreel.agent import agent_shell, announcement
from limpetreel.agent.actions import send_upstream
from limpetreel.agent.events import upstream_announced, upstream_datagram
from limpetreel.core import failure, reason
from limpetreel.wire import address, frame_codec, kind, mode, packet
from tests import bad_input, builders, fixtures

CALLER = address.Address(0x0A000001, 4000)
GOOD = {"class": builders.CLASS_NAME, "run_id": "r1", "state": "ready"}


def _shell(watch):
    cfg = builders.agent_cfg()
    core = builders.core(cfg, "agent")
    codec = frame_codec.FrameCodec(builders.CLUSTER_KEY, 1, 9)
    return agent_shell.AgentShell(cfg, core, codec, watch), core, codec


def _serving(watch):
    """Return a shell whose core has an upstream, a table and a lease."""
    shell, core, _ = _shell(watch)
    shell._execute = lambda action: None
    shell._on_announcement(builders.announce_datagram(GOOD), bad_input.SOURCE)
    now = builders.settle(core)
    return shell, core, now


@functools.cache
def _shared_core():
    """Return a core with a table and a lease for tests that must not change it."""
    _, core, now = _serving(bad_input.Watch())
    return core, now


def test_frames():
    """Guards against frames that are damaged, foreign or replayed."""
    watch = bad_input.Watch()
    shell, core, codec = _shell(watch)
    before = bad_input.state_of(core)
    given = bad_input.frames(builders.CLUSTER_KEY, 9)
    for data in given:
        shell._on_frame(data, bad_input.SOURCE)
    assert bad_input.state_of(core) == before and not codec._windows
    assert watch.refused() == len(given) == sum(codec.rejected.values())
    bad_input.check_log(watch)


def test_contents_of_frames():
    """Guards against authentic frames with content that cannot be read."""
    watch = bad_input.Watch()
    shell, core, _ = _serving(watch)
    before = bad_input.state_of(core)
    given = bad_input.bodies(builders.CLUSTER_KEY, 9)
    for data in given:
        shell._on_frame(data, bad_input.SOURCE)
    assert bad_input.state_of(core) == before
    assert sum(core.dropped.values()) == len(given)


@hypothesis.seed(1)
@hypothesis.settings(max_examples=60, deadline=None, database=None)
@hypothesis.given(st.binary(max_size=80))
def test_caller_datagrams_that_are_not_coap(data):
    """Guards against state for callers that sent nothing readable."""
    core, now = _shared_core()
    core.dropped.clear()
    body = packet.encode(
        packet.Packet(
            class_id=builders.CLASS_ID,
            bucket=1,
            hops=0,
            mode=mode.Mode.FIND,
            lease_ms=0,
            revision=3,
            trace_id=0,
            caller=CALLER,
            entry=builders.CONTROL,
            datagram=b"\xc0" + data,
        )
    )
    before = bad_input.state_of(core)
    event = builders.frame_event_of(kind.Kind.FORWARD, body)
    assert not core.handle(now, event)
    assert bad_input.state_of(core) == before and sum(core.dropped.values()) == 1


def test_announcements():
    """Guards against announcements of another service, host or format."""
    watch = bad_input.Watch()
    shell, core, _ = _shell(watch)
    before = bad_input.state_of(core)
    good = builders.announce_datagram(GOOD)
    bodies = [
        {**GOOD, "class": "briefings"},
        {**GOOD, "state": "gone"},
        {**GOOD, "run_id": ""},
        {**GOOD, "run_id": "x" * 500},
        {**GOOD, "run_id": 5},
        {"class": builders.CLASS_NAME},
        [],
        b"[" * 900,
        b"\xff\xfe",
    ]
    given = [builders.announce_datagram(body) for body in bodies]
    given += [good[:size] for size in range(len(good))]
    given += [good + b" " * 2000, b"\x50\x01" + good[2:], *bad_input.junk(3, 100)]
    for data in given:
        shell._on_announcement(data, bad_input.SOURCE)
    shell._on_announcement(good, ("127.0.0.9", 1))
    assert bad_input.state_of(core) == before
    assert watch.refused() == len(given) + 1
    bad_input.check_log(watch)
    shell._on_announcement(good, bad_input.SOURCE)
    assert bad_input.state_of(core) != before


@hypothesis.seed(1)
@hypothesis.settings(max_examples=150, deadline=None, database=None)
@hypothesis.given(st.binary(max_size=200))
def test_any_announcement_is_read_or_refused(payload):
    """Guards against an exception in the reader of announcements."""
    for data in (payload, b"\x50\x02\0\1\xff" + payload):
        found = announcement.read(data, builders.CLASS_NAME)
        assert isinstance(found, failure.Failure | upstream_announced.UpstreamAnnounced)


def test_datagrams_of_the_upstream():
    """Guards against answers that no caller asked for or that no frame can carry."""
    watch = bad_input.Watch()
    shell, core, now = _serving(watch)
    before = bad_input.state_of(core)
    late = b"\x68\x45\0\1" + b"\0" * 8
    for data in (*bad_input.junk(4, 200), late):
        assert not core.handle(now, upstream_datagram.UpstreamDatagram(CALLER, data))
    for size in (packet.MAX_DATAGRAM_BYTES + 1, 65507):
        shell._on_upstream_datagram(
            CALLER, late + b"\xff" + b"x" * size, bad_input.SOURCE
        )
    assert bad_input.state_of(core) == before
    assert watch.refused() == 2
    assert core.all_dropped[reason.Reason.STALE] >= 1
    assert sum(core.all_dropped.values()) >= 200


def test_good_announcement_survives_encoding():
    found = announcement.read(
        builders.announce_datagram({**GOOD, "state": "draining"}), builders.CLASS_NAME
    )
    assert msgspec.structs.astuple(found) == (builders.CLASS_NAME, "r1", True)


def test_no_socket_left_for_a_flow():
    """Guards against an agent that fails when callers use up its sockets."""
    watch = bad_input.Watch()
    shell, _, _ = _shell(watch)

    def fail(caller):
        raise OSError(24, "Too many open files")

    shell._flow = fail
    for number in range(100):
        shell._execute(send_upstream.SendUpstream(address.Address(number, 1), b"x"))
    assert watch.refused() == 100
    bad_input.check_log(watch)


load_tests = fixtures.load_functions(globals())
