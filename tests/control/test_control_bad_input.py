"""Bad input on the sockets of a control instance must be counted and change nothing."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import pathlib
import tempfile
import time

import hypothesis
import msgspec
import pynng
from hypothesis import strategies as st

from limpetreel import factory
from limpetreel.consensus import member
from limpetreel.control import operator_codec, operator_server, peer_links
from limpetreel.control.events import operator_call, peer_message
from limpetreel.core import failure
from limpetreel.storage import folder_disk, log_store
from limpetreel.wire import frame_codec, kind
from tests import bad_input, builders, fixtures


@contextlib.contextmanager
def _shell(telemetry):
    """Yield a control shell with one voting member that has no leader yet."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        store = log_store.LogStore(folder_disk.FolderDisk(folder))
        own = member.Member("control-1", 1, "127.0.0.1:1")
        store.create("control-1", 1, (own,))
        store.close()
        shell = factory.build_control(builders.control_cfg(data=folder))
        shell._telemetry._log.close()
        shell._telemetry = telemetry
        try:
            yield shell
        finally:
            shell._store.close()


def _state(shell):
    return shell._core.catalog.snapshot()


@functools.cache
def _shared_core():
    """Return a core without a leader for tests that must not change it."""
    with _shell(bad_input.CapturingTelemetry()) as shell:
        return shell._core


def test_frames():
    """Guards against frames that are damaged, foreign or replayed."""
    telemetry = bad_input.CapturingTelemetry()
    with _shell(telemetry) as shell:
        before = _state(shell)
        invalid = bad_input.frames(builders.CLUSTER_KEY, shell._codec.incarnation)
        for data in invalid:
            shell._frame(data, bad_input.SOURCE)
        assert _state(shell) == before and not shell._codec._windows
        assert not shell._core.dropped
    assert telemetry.refused() == len(invalid)
    bad_input.check_log(telemetry)


def test_contents_of_frames():
    """Guards against authentic frames with content that cannot be read."""
    with _shell(bad_input.CapturingTelemetry()) as shell:
        before = _state(shell)
        invalid = bad_input.bodies(builders.CLUSTER_KEY, shell._codec.incarnation)
        for data in invalid:
            shell._frame(data, bad_input.SOURCE)
        assert _state(shell) == before
        assert sum(shell._core.dropped.values()) == len(invalid)


@hypothesis.seed(1)
@hypothesis.settings(max_examples=60, deadline=None, database=None)
@hypothesis.given(st.binary(max_size=100), st.sampled_from(list(kind.Kind)))
def test_messages_of_peers(body, message_kind):
    """Guards against authentic messages of other instances that cannot be read."""
    core = _shared_core()
    before, dropped = core.catalog.snapshot(), sum(core.dropped.values())
    for content in (body, bad_input.NESTED):
        core.handle(time.monotonic(), peer_message.PeerMessage(message_kind, content))
    assert core.catalog.snapshot() == before
    assert sum(core.dropped.values()) == dropped + 2


@hypothesis.seed(1)
@hypothesis.settings(max_examples=100, deadline=None, database=None)
@hypothesis.given(
    st.binary(max_size=100)
    | st.sampled_from([b"[" * 50000, b'{"a":' * 50000, b"null", b"1e999"])
    | st.dictionaries(
        st.sampled_from(["type", "name", "command_id", "expected", "zones"]),
        st.none() | st.integers() | st.text(max_size=8) | st.lists(st.text()),
    ).map(msgspec.json.encode)
)
def test_requests_of_operators(body):
    """Guards against a request that ends the task that answers operators."""
    core = _shared_core()
    before = core.catalog.snapshot()
    call = operator_call.OperatorCall(1, body)
    (answer,) = core.handle(time.monotonic(), call)
    answered = msgspec.json.decode(answer.body)
    assert answered["status"] != "applied" and core.catalog.snapshot() == before


def test_wrong_operator_keys():
    """Guards against requests without a valid authorisation."""
    codec = operator_codec.OperatorCodec(builders.OPERATOR_KEY)
    good = codec.seal(b"{}")
    other_codec = operator_codec.OperatorCodec(b"another operator key")
    invalid = [
        other_codec.seal(b"{}"),
        b"x" * (operator_codec.MAX_BYTES + 1),
        good + b"x",
        *(good[:size] for size in range(len(good))),
        *bad_input.random_datagrams(5, 100),
    ]
    assert all(isinstance(codec.open(data), failure.Failure) for data in invalid)
    assert codec.open(good) == b"{}"


def test_operator_socket_survives_bad_requests():
    """Guards against an instance that stops answering after one bad request."""

    async def run():
        telemetry = bad_input.CapturingTelemetry()
        operators = operator_codec.OperatorCodec(builders.OPERATOR_KEY)
        server = operator_server.OperatorServer(
            operators,
            lambda number, body: server.answer(number, body),
            ("127.0.0.1", 0),
            telemetry.refuse,
        )
        serving = asyncio.create_task(server.serve())
        invalid = [b"", b"x" * 100, operators.seal(b"{}")[:-1]]
        with pynng.Req0(recv_timeout=3000, send_timeout=3000) as client:
            client.dial(f"tcp://{server._sock.listeners[0].local_address}")
            for data in invalid:
                await client.asend(data)
                await client.arecv()
            await client.asend(operators.seal(b"last"))
            answer = operators.open(await client.arecv())
        is_alive = not serving.done()
        server.close()
        await serving
        return telemetry.refused(), len(invalid), answer, is_alive

    refused, sent, answer, is_alive = asyncio.run(run())
    assert is_alive and refused == sent and answer == b"last"


def test_peer_socket_survives_bad_messages():
    """Guards against an instance that stops receiving after invalid messages."""

    async def run():
        telemetry, received = bad_input.CapturingTelemetry(), asyncio.Queue()
        codec = frame_codec.FrameCodec(builders.CLUSTER_KEY, 1, 9)
        sender = frame_codec.FrameCodec(builders.CLUSTER_KEY, 2, 1)
        links = peer_links.PeerLinks(
            codec,
            lambda message_kind, body: received.put_nowait(body),
            ("127.0.0.1", 0),
            telemetry.refuse,
        )
        receiving = asyncio.create_task(links.receive())
        invalid = [
            d for d in bad_input.frames(builders.CLUSTER_KEY, 9) if len(d) < 65507
        ]
        with pynng.Push0(send_timeout=3000) as client:
            client.dial(f"tcp://{links._pull.listeners[0].local_address}")
            for data in invalid:
                await client.asend(data)
            body = peer_links._prefix("127.0.0.1:1") + b"good"
            await client.asend(sender.encode(kind.Kind.CONSENSUS, 0, body))
            last = await asyncio.wait_for(received.get(), 5)
        links.close()
        await receiving
        return telemetry.refused(), len(invalid), last, received.empty()

    refused, sent, last, is_only = asyncio.run(run())
    assert last == b"good" and is_only and refused == sent


load_tests = fixtures.load_functions(globals())
