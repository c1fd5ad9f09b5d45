"""Invalid input on an entry's sockets is counted and changes no state."""

from __future__ import annotations

import asyncio
import socket

import hypothesis
from hypothesis import strategies as st

from limpetreel.core import reason
from limpetreel.entry import entry_shell
from limpetreel.entry.actions import close_class, open_class
from limpetreel.messages import probe
from limpetreel.wire import frame_codec, kind, message_codec, packet
from tests import bad_input, builders, fixtures

PROBE = message_codec.encode(probe.Probe(1, "south"))


def _shell(telemetry, **changes):
    cfg = builders.entry_cfg(**changes)
    core = builders.core(cfg, "entry")
    codec = frame_codec.FrameCodec(builders.CLUSTER_KEY, 1, 9)
    return entry_shell.EntryShell(cfg, core, codec, telemetry), core, codec


def _serving(telemetry):
    """Return a shell whose core has a table and a lease, with the core's time."""
    shell, core, codec = _shell(telemetry)
    now = builders.settle(core)
    return shell, core, codec, now


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


def test_replayed_frame_is_refused():
    """Guards against a replayed datagram that takes effect a second time."""
    telemetry = bad_input.CapturingTelemetry()
    shell, core, codec = _shell(telemetry)
    sender = frame_codec.FrameCodec(builders.CLUSTER_KEY, 2, 1)
    data = sender.encode(kind.Kind.MESSAGE, 9, PROBE)

    shell._execute = lambda action: None
    shell._on_frame(data, bad_input.SOURCE)
    before = bad_input.state_of(core)
    shell._on_frame(data, bad_input.SOURCE)
    assert bad_input.state_of(core) == before and telemetry.refused() == 1
    assert codec.rejected == {reason.Reason.REPLAYED: 1}


def test_unreadable_frame_contents_are_dropped():
    """Guards against state changes by authentic frames with unreadable content."""
    telemetry = bad_input.CapturingTelemetry()
    shell, core, _ = _shell(telemetry)
    before = bad_input.state_of(core)
    inputs = bad_input.bodies(builders.CLUSTER_KEY, 9)
    for data in inputs:
        shell._on_frame(data, bad_input.SOURCE)
    assert bad_input.state_of(core) == before
    assert sum(core.dropped.values()) == len(inputs)


def test_oversized_caller_datagrams_are_refused():
    """Guards against forwarding a datagram that exceeds the size of a frame."""
    telemetry = bad_input.CapturingTelemetry()
    shell, core, _, _ = _serving(telemetry)
    sent = []
    shell._execute = sent.append
    before = bad_input.state_of(core)
    for size in (packet.MAX_DATAGRAM_BYTES + 1, 65507):
        shell._on_caller_datagram(builders.CLASS_ID, b"x" * size, bad_input.SOURCE)
    assert bad_input.state_of(core) == before
    assert telemetry.refused() == 2 and not sent
    bad_input.check_log(telemetry)


def test_largest_caller_datagram_fits_in_a_frame():
    """Guards against a limit that allows frames larger than a UDP datagram."""
    _, core, codec, now = _serving(bad_input.CapturingTelemetry())
    event = entry_shell.caller_datagram.CallerDatagram(
        builders.CLASS_ID, builders.CONTROL, b"x" * packet.MAX_DATAGRAM_BYTES
    )
    action = core.handle(now, event)[0]
    assert len(codec.encode(action.kind, action.target, action.body)) < 65507


@hypothesis.seed(1)
@hypothesis.settings(max_examples=100, deadline=None, database=None)
@hypothesis.given(st.binary(max_size=60), st.integers(0, 2**32 - 1))
def test_datagrams_without_lease_or_class_are_dropped(data, class_id):
    """Guards against packets that are forwarded without a lease or a class."""
    telemetry = bad_input.CapturingTelemetry()
    shell, core, _ = _shell(telemetry)
    before = bad_input.state_of(core)
    shell._on_caller_datagram(class_id, data, bad_input.SOURCE)
    assert bad_input.state_of(core) == before
    assert core.dropped == {reason.Reason.NO_LEASE: 1}


def test_entry_survives_invalid_datagrams_on_its_socket():
    """Guards against a socket that stops receiving after an invalid datagram."""

    async def run():
        telemetry = bad_input.CapturingTelemetry()
        shell, _, _ = _shell(telemetry, listen=("127.0.0.1", 0))
        stopped = asyncio.Event()
        serving = asyncio.create_task(shell.serve(stopped))
        await asyncio.sleep(0.05)
        frame_address = shell._frames.address
        inputs = [
            d for d in bad_input.frames(builders.CLUSTER_KEY, 9) if len(d) < 65000
        ]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in inputs:
                sock.sendto(data, frame_address)
            sender = frame_codec.FrameCodec(builders.CLUSTER_KEY, 2, 1)
            sock.sendto(sender.encode(kind.Kind.MESSAGE, 9, PROBE), frame_address)
            sock.settimeout(2)
            answer = await asyncio.to_thread(sock.recv, 2000)
        stopped.set()
        await serving
        return telemetry.refused(), len(inputs), answer

    refused, input_count, answer = asyncio.run(run())
    assert refused == input_count and answer


def test_class_port_in_use_is_logged():
    """Guards against an entry that fails because the port of a class is in use."""

    async def run():
        telemetry = bad_input.CapturingTelemetry()
        shell, _, _ = _shell(telemetry)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            shell._execute(open_class.OpenClass(1, sock.getsockname()[1]))
            shell._execute(close_class.CloseClass(1))
        return telemetry.lines()

    errors = [line for line in asyncio.run(run()) if line["level"] == "error"]
    assert [line["step"] for line in errors] == ["class.open"]


load_tests = fixtures.load_functions(globals())
