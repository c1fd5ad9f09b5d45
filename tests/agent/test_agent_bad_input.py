"""Invalid input on an agent's sockets is counted and changes no state."""

from __future__ import annotations

import functools

import hypothesis
import msgspec
from hypothesis import strategies as st

from limpetreel.agent import agent_shell, announcement
from limpetreel.agent.actions import send_upstream
from limpetreel.agent.events import upstream_announced, upstream_datagram
from limpetreel.core import failure, reason
from limpetreel.node import tick
from limpetreel.wire import address, frame_codec, kind, mode, packet
from tests import bad_input, builders, fixtures

CALLER = address.Address(0x0A000001, 4000)
VALID = {"class": builders.CLASS_NAME, "run_id": "r1", "state": "ready"}


def _shell(telemetry):
    cfg = builders.agent_cfg()
    core = builders.core(cfg, "agent")
    codec = frame_codec.FrameCodec(builders.CLUSTER_KEY, 1, 9)
    return agent_shell.AgentShell(cfg, core, codec, telemetry), core, codec


def _serving(telemetry):
    """Return a shell whose core has an upstream, a table and a lease."""
    shell, core, _ = _shell(telemetry)
    shell._execute = lambda action: None
    shell._on_announcement(builders.announce_datagram(VALID), bad_input.SOURCE)
    now = builders.settle(core)
    return shell, core, now


@functools.cache
def _shared_core():
    """Return a core with a table and a lease, for tests that do not change it."""
    _, core, now = _serving(bad_input.CapturingTelemetry())
    return core, now


def test_invalid_frames_are_refused():
    """Guards against state changes by frames that fail a check of the codec."""
    telemetry = bad_input.CapturingTelemetry()
    shell, core, codec = _shell(telemetry)
    before = bad_input.state_of(core)
    inputs = bad_input.frames(builders.CLUSTER_KEY, 9)
    for data in inputs:
        shell._on_frame(data, bad_input.SOURCE)
    assert bad_input.state_of(core) == before and not codec._windows
    assert telemetry.refused() == len(inputs) == sum(codec.rejected.values())
    bad_input.check_log(telemetry)


def test_unreadable_frame_contents_are_dropped():
    """Guards against state changes by authentic frames with unreadable content."""
    telemetry = bad_input.CapturingTelemetry()
    shell, core, _ = _serving(telemetry)
    before = bad_input.state_of(core)
    inputs = bad_input.bodies(builders.CLUSTER_KEY, 9)
    for data in inputs:
        shell._on_frame(data, bad_input.SOURCE)
    assert bad_input.state_of(core) == before
    assert sum(core.dropped.values()) == len(inputs)


@hypothesis.seed(1)
@hypothesis.settings(max_examples=60, deadline=None, database=None)
@hypothesis.given(st.binary(max_size=80))
def test_caller_datagrams_that_are_not_coap_are_dropped(data):
    """Guards against memory used for callers whose datagrams are not CoAP."""
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
    event = builders.raw_frame_event(kind.Kind.FORWARD, body)
    assert not core.handle(now, event)
    assert bad_input.state_of(core) == before and sum(core.dropped.values()) == 1


def test_invalid_announcements_are_refused():
    """Guards against announcements of another class, host or format."""
    telemetry = bad_input.CapturingTelemetry()
    shell, core, _ = _shell(telemetry)
    before = bad_input.state_of(core)
    valid = builders.announce_datagram(VALID)
    bodies = [
        {**VALID, "class": "briefings"},
        {**VALID, "state": "gone"},
        {**VALID, "run_id": ""},
        {**VALID, "run_id": "x" * 500},
        {**VALID, "run_id": 5},
        {"class": builders.CLASS_NAME},
        [],
        b"[" * 900,
        b"\xff\xfe",
    ]
    inputs = [builders.announce_datagram(body) for body in bodies]
    inputs += [valid[:size] for size in range(len(valid))]
    inputs += [
        valid + b" " * 2000,
        b"\x50\x01" + valid[2:],
        *bad_input.random_datagrams(3, 100),
    ]
    for data in inputs:
        shell._on_announcement(data, bad_input.SOURCE)
    shell._on_announcement(valid, ("127.0.0.9", 1))
    assert bad_input.state_of(core) == before
    assert telemetry.refused() == len(inputs) + 1
    bad_input.check_log(telemetry)
    shell._on_announcement(valid, bad_input.SOURCE)
    assert bad_input.state_of(core) != before


@hypothesis.seed(1)
@hypothesis.settings(max_examples=150, deadline=None, database=None)
@hypothesis.given(st.binary(max_size=200))
def test_any_announcement_is_decoded_or_refused(payload):
    """Guards against an exception in the decoder of announcements."""
    for data in (payload, b"\x50\x02\0\1\xff" + payload):
        result = announcement.read(data, builders.CLASS_NAME)
        assert isinstance(
            result, failure.Failure | upstream_announced.UpstreamAnnounced
        )


def test_unexpected_datagrams_of_the_upstream_are_dropped():
    """Guards against answers that match no request or exceed the size of a frame."""
    telemetry = bad_input.CapturingTelemetry()
    shell, core, now = _serving(telemetry)
    before = bad_input.state_of(core)
    late_answer = b"\x68\x45\0\1" + b"\0" * 8
    for data in (*bad_input.random_datagrams(4, 200), late_answer):
        assert not core.handle(now, upstream_datagram.UpstreamDatagram(CALLER, data))
    for size in (packet.MAX_DATAGRAM_BYTES + 1, 65507):
        shell._on_upstream_datagram(
            CALLER, late_answer + b"\xff" + b"x" * size, bad_input.SOURCE
        )
    assert bad_input.state_of(core) == before
    assert telemetry.refused() == 2
    assert core.all_dropped[reason.Reason.STALE] >= 1
    assert sum(core.all_dropped.values()) >= 200


def test_valid_announcement_is_decoded():
    event = announcement.read(
        builders.announce_datagram({**VALID, "state": "draining"}), builders.CLASS_NAME
    )
    assert msgspec.structs.astuple(event) == (builders.CLASS_NAME, "r1", True)


def test_failure_to_open_an_upstream_socket_is_counted():
    """Guards against an agent that fails when it cannot open more sockets."""
    telemetry = bad_input.CapturingTelemetry()
    shell, _, _ = _shell(telemetry)

    def fail(caller):
        raise OSError(24, "Too many open files")

    shell._flow = fail
    for number in range(100):
        shell._execute(send_upstream.SendUpstream(address.Address(number, 1), b"x"))
    assert telemetry.refused() == 100
    bad_input.check_log(telemetry)


def test_unexpected_error_is_logged_and_its_event_dropped():
    """Guards against an agent that ends at one event, with all its flows."""
    telemetry = bad_input.CapturingTelemetry()
    shell, core, _ = _shell(telemetry)

    def fail(now, event):
        raise KeyError("a name that is not known")

    core.handle = fail
    shell._handle(tick.Tick())
    (line,) = telemetry.lines()
    assert (line["step"], line["event"]) == ("node.event_failed", "Tick")


load_tests = fixtures.load_functions(globals())
