"""Tests of a control instance whose log cannot be written."""

from __future__ import annotations

import asyncio
import types

from limpetreel import exceptions
from limpetreel.consensus.actions import persist
from limpetreel.control import control_shell, operator_codec
from limpetreel.control.actions import answer_operator
from limpetreel.node import frame_arrived, tick
from limpetreel.wire import frame_codec
from tests import builders, fixtures

load_tests = fixtures.load_functions(globals())

LISTEN = ("127.0.0.1", 0)
PERSIST = persist.Persist(1, "")


class Core:
    """Core that has something to persist, and then to send, at each frame."""

    has_left = True

    def handle(self, now, event):
        """Return the actions of one event."""
        if isinstance(event, tick.Tick):
            return []
        return [PERSIST, answer_operator.AnswerOperator(1, b"")]


class Store:
    """Store that cannot write."""

    def persist(self, action):
        """Fail as a disk does."""
        raise exceptions.StorageError("log_store.persist", "failed")

    def close(self):
        """Do nothing."""


async def _serve_a_frame():
    cfg = types.SimpleNamespace(
        listen=LISTEN, peer_listen=LISTEN, operator_listen=LISTEN
    )
    codecs = [frame_codec.FrameCodec(builders.CLUSTER_KEY, 1, 9) for _ in range(2)]
    operators = operator_codec.OperatorCodec(builders.OPERATOR_KEY)
    shell = control_shell.ControlShell(cfg, Core(), Store(), *codecs, operators)
    serving = asyncio.create_task(shell.serve(asyncio.Event()))
    await asyncio.sleep(0.1)
    answers = []
    shell._operators.answer = lambda *args: answers.append(args)
    # Called by the event loop, which logs an exception and goes on.
    loop = asyncio.get_running_loop()
    for _ in range(2):
        loop.call_soon(shell._handle, frame_arrived.FrameArrived(None, None))
    await asyncio.wait([serving], timeout=2)
    return serving, answers


def test_write_that_fails_at_a_frame_of_a_node_ends_the_instance():
    """Guards against acknowledgements of what only memory holds.

    Errors in callbacks of sockets end nothing by themselves.
    """
    serving, answers = asyncio.run(_serve_a_frame())
    assert isinstance(serving.exception(), exceptions.StorageError)
    assert not answers
