"""Bad input on the sockets of a control instance must be counted and change nothing."""

from __future__ import annotations

import asyncio

import hypothesis
import msgspec
import pynng
from hypothesis import strategies as st

from limpetreel.catalog import status
from limpetreel.control import control_shell, operator_codec
from limpetreel.core import failure
from limpetreel.wire import frame_codec
from tests import bad_input, builders, fixtures


def _shell(watch, **changes):
    codec = frame_codec.FrameCodec(builders.CLUSTER_KEY, 1, 9)
    operators = operator_codec.OperatorCodec(builders.OPERATOR_KEY)
    cfg = builders.control_cfg(**changes)
    return control_shell.ControlShell(cfg, codec, operators, watch), codec


def test_frames():
    """Guards against frames that are damaged, foreign or replayed."""
    watch = bad_input.Watch()
    shell, codec = _shell(watch)
    before = shell._catalog.snapshot()
    given = bad_input.frames(builders.CLUSTER_KEY, 9)
    for data in given:
        shell._frame(data, bad_input.SOURCE)
    assert shell._catalog.snapshot() == before and not codec._windows
    assert watch.refused() == len(given)
    bad_input.check_log(watch)


def test_contents_of_frames():
    """Guards against authentic frames with content that cannot be read."""
    watch = bad_input.Watch()
    shell, _ = _shell(watch)
    before = shell._catalog.snapshot()
    given = bad_input.bodies(builders.CLUSTER_KEY, 9)
    for data in given:
        shell._frame(data, bad_input.SOURCE)
    assert shell._catalog.snapshot() == before
    assert watch.refused() == len(given)


@hypothesis.seed(1)
@hypothesis.settings(max_examples=150, deadline=None, database=None)
@hypothesis.given(
    st.binary(max_size=100)
    | st.sampled_from([b"[" * 50000, b'{"a":' * 50000, b"null", b"1e999"])
    | st.dictionaries(
        st.sampled_from(["type", "name", "command_id", "expected", "zones"]),
        st.none() | st.integers() | st.text(max_size=8) | st.lists(st.text()),
    ).map(msgspec.json.encode)
)
def test_requests_of_operators(body):
    """Guards against a request that ends the task which answers operators."""
    shell, _ = _shell(bad_input.Watch())
    before = shell._catalog.table.revision
    answer = msgspec.json.decode(shell._operator(body))
    assert answer["status"] in tuple(status.Status) and answer["status"] != "applied"
    assert shell._catalog.table.revision == before


def test_wrong_operator_keys():
    """Guards against commands that nobody authorised."""
    codec = operator_codec.OperatorCodec(builders.OPERATOR_KEY)
    good = codec.seal(b"{}")
    stranger = operator_codec.OperatorCodec(b"another operator key")
    given = [
        stranger.seal(b"{}"),
        b"x" * (operator_codec.MAX_BYTES + 1),
        good + b"x",
        *(good[:size] for size in range(len(good))),
        *bad_input.junk(5, 100),
    ]
    assert all(isinstance(codec.open(data), failure.Failure) for data in given)
    assert codec.open(good) == b"{}"


def test_operator_socket_survives_bad_requests():
    """Guards against an instance that stops to answer after one bad request."""

    async def run():
        watch = bad_input.Watch()
        shell, _ = _shell(watch)
        operators = operator_codec.OperatorCodec(builders.OPERATOR_KEY)
        with (
            pynng.Rep0(listen="tcp://127.0.0.1:0") as server,
            pynng.Req0(recv_timeout=3000, send_timeout=3000) as client,
        ):
            answering = asyncio.create_task(shell._answer_operators(server))
            client.dial(f"tcp://{server.listeners[0].local_address}")
            given = [b"", b"x" * 100, operators.seal(b"[" * 50000), operators.seal(b"")]
            for data in given:
                await client.asend(data)
                await client.arecv()
            await client.asend(operators.seal(b'{"type":"table"}'))
            answer = operators.open(await client.arecv())
            is_alive = not answering.done()
            answering.cancel()
        return watch.refused(), len(given), answer, is_alive

    refused, given, answer, is_alive = asyncio.run(run())
    assert is_alive and refused == given
    assert msgspec.json.decode(answer)["records"] == []


load_tests = fixtures.load_functions(globals())
