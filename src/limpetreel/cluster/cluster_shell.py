"""Sockets and files of a control instance."""

from __future__ import annotations

import abc
import asyncio
from typing import TYPE_CHECKING

from limpetreel.cluster import call_status, control_links
from limpetreel.cluster.actions import answer_call, send_control, send_session
from limpetreel.cluster.events import (
    change_requested,
    consensus_arrived,
    leave,
    node_connected,
    node_disconnected,
    read_requested,
    report_arrived,
)
from limpetreel.cluster.messages import (
    alive,
    cluster_codec,
    consensus_message,
    hello,
    report,
)
from limpetreel.consensus.actions import persist, save_snapshot
from limpetreel.core import failure
from limpetreel.node import tick
from limpetreel.runtime import frame_protocol, steady_clock
from limpetreel.streams.actions import note

if TYPE_CHECKING:
    import msgspec

    from limpetreel.cluster import cluster_core, cluster_state
    from limpetreel.storage import log_store
    from limpetreel.telemetry import telemetry

TICK_SECONDS = 0.05
LATE_SECONDS = 1.0
"""Pause of the process after which a line says that it stood still."""
SILENT_SECONDS = 1.5
"""Silence after which a node's or control instance's connection is dropped."""
STOP_SECONDS = 0.5
"""Time for the next leader to be elected after a planned stop."""


class OperatorApi(abc.ABC):
    """Server for the calls of operators."""

    @abc.abstractmethod
    async def start(self, shell: ClusterShell) -> None:
        """Begin to serve."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop to serve, and finish the calls that are being answered."""


class ClusterShell:
    """Runs a control instance.

    Parameters
    ----------
    listen : tuple of (str, int)
        Address for nodes and other control instances.
    name : str
        Name of the node.
    core : ClusterCore
        The decisions.
    store : LogStore
        Log, snapshot and votes.
    api : OperatorApi
        Server for operators.
    watch : Telemetry
        Logs and metrics.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        name: str,
        core: cluster_core.ClusterCore,
        store: log_store.LogStore,
        api: OperatorApi,
        watch: telemetry.Telemetry,
    ) -> None:
        self._listen = listen
        self._core = core
        self._store = store
        self._api = api
        self._watch = watch
        address = f"{listen[0]}:{listen[1]}"
        greeting = cluster_codec.encode(hello.Hello(name, address, False))
        self._links = control_links.ControlLinks(greeting)
        self._links.on_change = self._note_link
        self._sessions: dict[int, frame_protocol.FrameProtocol] = {}
        self._peers: dict[frame_protocol.FrameProtocol, str] = {}
        self._connections: set[frame_protocol.FrameProtocol] = set()
        self._next_id = 0
        self._calls: dict[int, asyncio.Future[answer_call.AnswerCall]] = {}

    async def serve(self, stopped: asyncio.Event) -> None:
        """Serve until stopped."""
        await self._watch.start()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._accept, self._listen[0], self._listen[1], backlog=1024
        )
        await self._api.start(self)
        try:
            await self._run(stopped)
        finally:
            self._give_up_calls()
            await self._api.close()
            server.close()
            self._links.close()
            self._store.close()
            await self._watch.close()

    async def change(self, command: cluster_state.Command) -> answer_call.AnswerCall:
        """Carry out a change and return what became of it."""
        began = steady_clock.now()
        call_id, fut = self._new_call()
        self._handle(change_requested.ChangeRequested(call_id, command))
        answer = await fut
        self._watch.observe("change_seconds", steady_clock.now() - began)
        return answer

    async def read(self) -> answer_call.AnswerCall:
        """Return the configuration in force."""
        call_id, fut = self._new_call()
        self._handle(read_requested.ReadRequested(call_id))
        return await fut

    def _new_call(self) -> tuple[int, asyncio.Future[answer_call.AnswerCall]]:
        self._next_id += 1
        fut: asyncio.Future[answer_call.AnswerCall]
        fut = asyncio.get_running_loop().create_future()
        self._calls[self._next_id] = fut
        return self._next_id, fut

    def _give_up_calls(self) -> None:
        """Answer all waiting calls, so that operators turn to another instance."""
        status = call_status.CallStatus.UNAVAILABLE
        for call_id, fut in self._calls.items():
            if not fut.done():
                fut.set_result(answer_call.AnswerCall(call_id, status))
                self._watch.refuse("operator.call", "", "instance stops")
        self._calls.clear()

    async def _run(self, stopped: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while not stopped.is_set():
            late = loop.time() - due
            if late > LATE_SECONDS:
                self._watch.line("warning", "control.late", seconds=round(late, 3))
            self._handle(tick.Tick())
            self._drop_silent(loop.time())
            due = loop.time() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
        self._handle(leave.Leave())
        until = loop.time() + STOP_SECONDS
        while loop.time() < until:
            self._handle(tick.Tick())
            await asyncio.sleep(TICK_SECONDS)

    def _accept(self) -> frame_protocol.FrameProtocol:
        link = frame_protocol.FrameProtocol(self._receive, self._end)
        self._connections.add(link)
        return link

    def _drop_silent(self, now: float) -> None:
        for link in list(self._connections):
            if link.is_open and now - link.heard_at > SILENT_SECONDS:
                self._watch.refuse("control.connection", link.peer, "silent")
                link.abort()

    def _end(self, link: frame_protocol.FrameProtocol) -> None:
        self._connections.discard(link)
        self._peers.pop(link, None)
        if self._sessions.pop(link.context, None) is not None:
            self._handle(node_disconnected.NodeDisconnected(link.context))

    def _receive(self, link: frame_protocol.FrameProtocol, data: bytes) -> None:
        message = cluster_codec.decode(data)
        address = self._peers.get(link)
        if address is not None:
            self._links.hear(address)
        match message:
            case consensus_message.ConsensusMessage():
                self._handle(consensus_arrived.ConsensusArrived(message.envelope))
            case report.Report():
                is_direct = address is None
                self._handle(report_arrived.ReportArrived(message, is_direct))
            case hello.Hello():
                self._greet(link, message)
            case alive.Alive():
                pass
            case failure.Failure():
                self._watch.refuse(message.step, link.peer, message.reason)
                link.abort()
            case _:
                self._watch.refuse("cluster.receive", link.peer, "unexpected message")

    def _greet(self, link: frame_protocol.FrameProtocol, message: hello.Hello) -> None:
        if message.address:
            self._peers[link] = message.address
            self._links.hear(message.address)
            return
        self._next_id += 1
        link.context = self._next_id
        self._sessions[link.context] = link
        self._handle(
            node_connected.NodeConnected(
                link.context, message.name, message.wants_upstreams
            )
        )

    def _note_link(self, address: str, is_up: bool) -> None:
        step = "control.link_up" if is_up else "control.link_down"
        self._watch.line("info", step, peer=address)

    def _handle(self, event: msgspec.Struct) -> None:
        for action in self._core.handle(steady_clock.now(), event):
            self._do(action)

    def _do(self, action: msgspec.Struct) -> None:
        match action:
            case send_control.SendControl():
                self._links.send(action.address, action.data)
            case send_session.SendSession():
                link = self._sessions.get(action.session_id)
                if link is not None:
                    link.send(cluster_codec.encode(action.update))
            case persist.Persist():
                self._store.persist(action)
            case save_snapshot.SaveSnapshot():
                self._store.save_snapshot(action)
            case answer_call.AnswerCall():
                fut = self._calls.pop(action.call_id, None)
                if fut is not None and not fut.done():
                    fut.set_result(action)
                if action.status is call_status.CallStatus.UNAVAILABLE:
                    self._watch.refuse("operator.call", "", "no quorum in time")
            case note.Note():
                self._watch.decision(action.level, action.step, action.fields)
