"""Bad input on the sockets of an entry must be counted and change nothing."""

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


def _shell(watch, **changes):
    cfg = builders.entry_cfg(**changes)
    core = builders.core(cfg, "entry")
    codec = frame_codec.FrameCodec(builders.CLUSTER_KEY, 1, 9)
    return entry_shell.EntryShell(cfg, core, codec, watch), core, codec


def _serving(watch):
    """Return a shell whose core has a table and a lease, and the core's time."""
    shell, core, codec = _shell(watch)
    now = builders.settle(core)
    return shell, core, codec, now


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


def test_replayed_frame():
    """Guards against a second effect of a datagram that was seen already."""
    watch = bad_input.Watch()
    shell, core, codec = _shell(watch)
    sender = frame_codec.FrameCodec(builders.CLUSTER_KEY, 2, 1)
    data = sender.encode(kind.Kind.MESSAGE, 9, PROBE)

    shell._execute = lambda action: None
    shell._on_frame(data, bad_input.SOURCE)
    before = bad_input.state_of(core)
    shell._on_frame(data, bad_input.SOURCE)
    assert bad_input.state_of(core) == before and watch.refused() == 1
    assert codec.rejected == {reason.Reason.REPLAYED: 1}


def test_contents_of_frames():
    """Guards against authentic frames with content that cannot be read."""
    watch = bad_input.Watch()
    shell, core, _ = _shell(watch)
    before = bad_input.state_of(core)
    given = bad_input.bodies(builders.CLUSTER_KEY, 9)
    for data in given:
        shell._on_frame(data, bad_input.SOURCE)
    assert bad_input.state_of(core) == before
    assert sum(core.dropped.values()) == len(given)


def test_oversized_datagram_of_a_caller():
    """Guards against a datagram that no frame can carry."""
    watch = bad_input.Watch()
    shell, core, _, _ = _serving(watch)
    sent = []
    shell._execute = sent.append
    before = bad_input.state_of(core)
    for size in (packet.MAX_DATAGRAM_BYTES + 1, 65507):
        shell._on_caller_datagram(builders.CLASS_ID, b"x" * size, bad_input.SOURCE)
    assert bad_input.state_of(core) == before
    assert watch.refused() == 2 and not sent
    bad_input.check_log(watch)


def test_largest_datagram_of_a_caller_fits():
    """Guards against a limit that lets frames grow beyond a datagram."""
    _, core, codec, now = _serving(bad_input.Watch())
    event = entry_shell.caller_datagram.CallerDatagram(
        builders.CLASS_ID, builders.CONTROL, b"x" * packet.MAX_DATAGRAM_BYTES
    )
    action = core.handle(now, event)[0]
    assert len(codec.encode(action.kind, action.target, action.body)) < 65507


@hypothesis.seed(1)
@hypothesis.settings(max_examples=100, deadline=None, database=None)
@hypothesis.given(st.binary(max_size=60), st.integers(0, 2**32 - 1))
def test_datagrams_without_right_or_class_are_dropped(data, class_id):
    """Guards against packets that are forwarded without lease or class."""
    watch = bad_input.Watch()
    shell, core, _ = _shell(watch)
    before = bad_input.state_of(core)
    shell._on_caller_datagram(class_id, data, bad_input.SOURCE)
    assert bad_input.state_of(core) == before
    assert core.dropped == {reason.Reason.NO_LEASE: 1}


def test_entry_survives_bad_datagrams_on_its_socket():
    """Guards against a reader that ends at the first bad datagram."""

    async def run():
        watch = bad_input.Watch()
        shell, _, _ = _shell(watch, listen=("127.0.0.1", 0))
        stopped = asyncio.Event()
        serving = asyncio.create_task(shell.serve(stopped))
        await asyncio.sleep(0.05)
        place = shell._frames.address
        given = [d for d in bad_input.frames(builders.CLUSTER_KEY, 9) if len(d) < 65000]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in given:
                sock.sendto(data, place)
            sender = frame_codec.FrameCodec(builders.CLUSTER_KEY, 2, 1)
            sock.sendto(sender.encode(kind.Kind.MESSAGE, 9, PROBE), place)
            sock.settimeout(2)
            answer = await asyncio.to_thread(sock.recv, 2000)
        stopped.set()
        await serving
        return watch.refused(), len(given), answer

    refused, given, answer = asyncio.run(run())
    assert refused == given and answer


def test_port_of_a_class_in_use():
    """Guards against an entry that fails because one class cannot be bound."""

    async def run():
        watch = bad_input.Watch()
        shell, _, _ = _shell(watch)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            shell._execute(open_class.OpenClass(1, sock.getsockname()[1]))
            shell._execute(close_class.CloseClass(1))
        return watch.lines()

    found = [line for line in asyncio.run(run()) if line["level"] == "error"]
    assert [line["step"] for line in found] == ["class.open"]


load_tests = fixtures.load_functions(globals())
