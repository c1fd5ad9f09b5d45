"""Sockets and disk of a control instance."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from limpetreel.consensus.actions import persist, save_snapshot
from limpetreel.control import operator_server, peer_links
from limpetreel.control.actions import answer_operator, save_founding, send_peer
from limpetreel.control.events import leave, operator_call, peer_message
from limpetreel.core import failure
from limpetreel.node import frame_arrived, send_frame, tick
from limpetreel.runtime import udp_socket
from limpetreel.telemetry import telemetry
from limpetreel.wire import address

if TYPE_CHECKING:
    import msgspec

    from limpetreel.control import control_core, operator_codec
    from limpetreel.settings import control_settings
    from limpetreel.storage import log_store
    from limpetreel.wire import frame_codec

TICK_SECONDS = 0.02
STOP_SECONDS = 2.0
"""Limit of a planned stop; without a quorum, no other instance can become leader."""


class ControlShell:
    """Turns messages into events of the core and carries out its actions.

    An error at any event ends the process, which recovers from its files at the next
    start.

    Parameters
    ----------
    cfg : ControlSettings
        Settings.
    decisions : ControlCore
        Decision logic.
    store : LogStore
        Durable log. A failed write ends the process, since an acknowledgement
        without a sync would be false.
    codec : FrameCodec
        Codec of the frames of nodes.
    peer_codec : FrameCodec
        Codec of the frames of control instances.
    operators : OperatorCodec
        Authorisation of operators.
    process_telemetry : Telemetry or None
        Logs and metrics of the process; None to disable them.
    """

    def __init__(
        self,
        cfg: control_settings.ControlSettings,
        decisions: control_core.ControlCore,
        store: log_store.LogStore,
        codec: frame_codec.FrameCodec,
        peer_codec: frame_codec.FrameCodec,
        operators: operator_codec.OperatorCodec,
        process_telemetry: telemetry.Telemetry | None = None,
    ) -> None:
        self._cfg = cfg
        self._core = decisions
        self._store = store
        self._codec = codec
        self._peer_codec = peer_codec
        self._operator_codec = operators
        self._telemetry = process_telemetry or telemetry.disabled()
        self._error: Exception | None = None
        self._has_failed = asyncio.Event()

    async def serve(self, stopped: asyncio.Event) -> None:
        """Answer nodes, operators and other instances until stopped."""
        await self._telemetry.start()
        self._nodes = udp_socket.UdpSocket(self._frame, *self._cfg.listen)
        self._peers = peer_links.PeerLinks(
            self._peer_codec, self._peer, self._cfg.peer_listen, self._telemetry.refuse
        )
        self._operators = operator_server.OperatorServer(
            self._operator_codec,
            self._operator,
            self._cfg.operator_listen,
            self._telemetry.refuse,
        )
        tasks = [
            asyncio.create_task(self._raise_error()),
            asyncio.create_task(self._peers.receive()),
            asyncio.create_task(self._operators.serve()),
            asyncio.create_task(self._run_ticks(stopped)),
        ]
        # The first task to end, by a stop or a failure, ends the others.
        done, others = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in others:
            task.cancel()
        self._nodes.close()
        self._operators.close()
        self._peers.close()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._store.close()
        await self._telemetry.close()
        for task in done:
            task.result()

    async def _raise_error(self) -> None:
        """Raise the error of an event, also of one in a callback of a socket."""
        await self._has_failed.wait()
        assert self._error is not None
        raise self._error

    async def _run_ticks(self, stopped: asyncio.Event) -> None:
        while not stopped.is_set():
            self._handle(tick.Tick())
            await asyncio.sleep(TICK_SECONDS)
        self._handle(leave.Leave())
        until = time.monotonic() + STOP_SECONDS
        while not self._core.has_left and time.monotonic() < until:
            self._handle(tick.Tick())
            await asyncio.sleep(TICK_SECONDS)

    def _frame(self, data: bytes, source: tuple[str, int]) -> None:
        frame = self._codec.decode(data)
        if isinstance(frame, failure.Failure):
            self._telemetry.refuse(frame.step, source, frame.reason)
            return
        self._handle(frame_arrived.FrameArrived(address.from_socket(source), frame))

    def _peer(self, kind: int, body: bytes) -> None:
        self._handle(peer_message.PeerMessage(kind, body))

    def _operator(self, call_id: int, body: bytes) -> None:
        self._handle(operator_call.OperatorCall(call_id, body))

    def _handle(self, event: msgspec.Struct) -> None:
        if self._error is not None:
            return
        now = time.monotonic()
        try:
            actions = self._core.handle(now, event)
            self._telemetry.record_decision(now, event, actions)
            for action in actions:
                self._execute(action)
        except Exception as exc:
            # The log in memory may be ahead of the files, whichever event it was.
            self._error = exc
            self._has_failed.set()
            event_name, detail = type(event).__name__, repr(exc)
            self._telemetry.log(
                "error", "control.event_failed", event=event_name, detail=detail
            )

    def _execute(self, action: msgspec.Struct) -> None:
        if isinstance(action, send_frame.SendFrame):
            data = self._codec.encode(action.kind, action.target, action.body)
            self._nodes.send(data, address.to_socket(action.destination))
        elif isinstance(action, send_peer.SendPeer):
            self._peers.send(action.address, action.kind, action.body)
        elif isinstance(action, persist.Persist):
            self._store.persist(action)
        elif isinstance(action, save_snapshot.SaveSnapshot):
            self._store.save_snapshot(action)
        elif isinstance(action, save_founding.SaveFounding):
            self._store.save_founding(action.record)
        elif isinstance(action, answer_operator.AnswerOperator):
            self._operators.answer(action.call_id, action.body)
