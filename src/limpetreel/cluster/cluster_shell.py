"""Sockets and files of a control instance."""

from __future__ import annotations

import abc
import asyncio
from typing import TYPE_CHECKING

from limpetreel import exceptions
from limpetreel.cluster import call_status, control_links
from limpetreel.cluster.actions import (
    answer_call,
    send_control,
    send_reports,
    send_session,
)
from limpetreel.cluster.events import (
    change_requested,
    consensus_arrived,
    leave,
    node_asked,
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
from limpetreel.streams.actions import log_line

if TYPE_CHECKING:
    from collections.abc import Callable

    import msgspec

    from limpetreel.cluster import command_codec, durable_instance
    from limpetreel.telemetry import telemetry

TICK_SECONDS = 0.05
LATE_SECONDS = 1.0
"""Pause of the process above which a warning is logged."""
RECEIVE_TIMEOUT_SECONDS = 1.5
"""Time without data after which a node or control instance is disconnected."""
STOP_SECONDS = 0.5
"""Time for the next leader to be elected after a planned stop."""
REOPEN_SECONDS = 0.5
"""Interval between attempts to reopen the store on a full disk, or after an unexpected
error; each reads the log."""
_SOFT_EVENTS = (
    report_arrived.ReportArrived,
    node_asked.NodeAsked,
    node_connected.NodeConnected,
    node_disconnected.NodeDisconnected,
)
"""Events that change no part of the replicated log."""


class OperatorApi(abc.ABC):
    """Server for the calls of operators."""

    @abc.abstractmethod
    async def start(self, shell: ClusterShell) -> None:
        """Start serving."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop accepting calls and finish those in progress."""


class ClusterShell:
    """Runs a control instance.

    While its disk is full it serves no requests: it drops all connections, so that
    the others elect a leader without it, and recovers from its files once a write
    succeeds. Any other disk failure ends the process.

    An unexpected error while soft state changes is logged and its event dropped. At any
    other event the replicated log in memory may have changed without its files, so the
    instance is recovered from them, as at a start.

    Parameters
    ----------
    listen : tuple of (str, int)
        Address for nodes and other control instances.
    name : str
        Name of the node.
    open_instance : callable
        Reads the files and returns the `DurableInstance`.
    api : OperatorApi
        Server for operators.
    telemetry : Telemetry
        Logs and metrics.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        name: str,
        open_instance: Callable[[], durable_instance.DurableInstance],
        api: OperatorApi,
        telemetry: telemetry.Telemetry,
    ) -> None:
        self._listen = listen
        self._open_instance = open_instance
        self._instance: durable_instance.DurableInstance | None = None
        self._open_at = 0.0
        self._failure: exceptions.StorageError | None = None
        self._api = api
        self._telemetry = telemetry
        address = f"{listen[0]}:{listen[1]}"
        self._hello = cluster_codec.encode(hello.Hello(name, address, False))
        self._links = self._new_links()
        self._sessions: dict[int, frame_protocol.FrameProtocol] = {}
        self._connections: set[frame_protocol.FrameProtocol] = set()
        self._next_id = 0
        self._calls: dict[int, asyncio.Future[answer_call.AnswerCall]] = {}
        self.outcomes: dict[str, int] = {}

    async def serve(self, stopped: asyncio.Event) -> None:
        """Serve until stopped."""
        await self._telemetry.start()
        loop = asyncio.get_running_loop()
        self._open(loop.time())
        server = await loop.create_server(
            self._accept, self._listen[0], self._listen[1], backlog=1024
        )
        await self._api.start(self)
        try:
            await self._run(stopped)
        finally:
            if self._instance is not None:
                self._instance.store.close()
            # Calls from now on are answered as unavailable at once.
            self._instance = None
            self._fail_pending_calls("instance stops")
            await self._api.close()
            server.close()
            self._links.close()
            await self._telemetry.close()

    async def change(self, command: command_codec.Change) -> answer_call.AnswerCall:
        """Carry out a change and return its outcome."""
        started_at = steady_clock.now()
        call_id, fut = self._new_call()
        self._handle(change_requested.ChangeRequested(call_id, command))
        answer = await fut
        self._telemetry.observe("change_seconds", steady_clock.now() - started_at)
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

    def _fail_pending_calls(self, reason: str) -> None:
        """Answer pending calls as unavailable, so that operators try others."""
        status = call_status.CallStatus.UNAVAILABLE
        for call_id in list(self._calls):
            self._answer(answer_call.AnswerCall(call_id, status), reason)

    def _answer(self, answer: answer_call.AnswerCall, reason: str) -> None:
        self.outcomes[answer.status] = self.outcomes.get(answer.status, 0) + 1
        fut = self._calls.pop(answer.call_id, None)
        if fut is not None and not fut.done():
            fut.set_result(answer)
        if answer.status is call_status.CallStatus.UNAVAILABLE:
            self._telemetry.refuse("operator.call", "", reason)

    def _new_links(self) -> control_links.ControlLinks:
        keep_alive = cluster_codec.encode(alive.Alive(0))
        links = control_links.ControlLinks(self._hello, keep_alive, self._receive)
        links.on_change = self._log_link_change
        return links

    def _open(self, now: float) -> None:
        """Recover from the files, unless the disk is still full."""
        self._open_at = now + REOPEN_SECONDS
        try:
            self._instance = self._open_instance()
        except exceptions.DiskFullError as exc:
            if self._failure is None:
                self._telemetry.log("error", exc.step, detail=exc.detail, path=exc.path)
            self._failure = exc
            return
        if self._failure is not None:
            self._failure = None
            self._telemetry.log("info", "control.disk_usable")

    def _handle_disk_failure(self, exc: exceptions.StorageError) -> None:
        """Stop serving, because the state in memory may not be durable."""
        self._telemetry.log("error", exc.step, detail=exc.detail, path=exc.path)
        self._failure = exc
        self._abandon_instance("disk failed")

    def _abandon_instance(self, reason: str) -> None:
        """Drop the connections and the state in memory; the files are read again."""
        if self._instance is not None:
            self._instance.store.close()
        self._instance = None
        self._fail_pending_calls(reason)
        self._links.close()
        self._links = self._new_links()
        for link in list(self._connections):
            link.abort()

    async def _run(self, stopped: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while not stopped.is_set():
            late = loop.time() - due
            if late > LATE_SECONDS:
                self._telemetry.log("warning", "control.late", seconds=round(late, 3))
            if self._instance is None:
                self._recover(loop.time())
            self._handle(tick.Tick())
            self._drop_idle_connections(loop.time())
            due = loop.time() + TICK_SECONDS
            await asyncio.sleep(TICK_SECONDS)
        self._handle(leave.Leave())
        until = loop.time() + STOP_SECONDS
        while loop.time() < until:
            self._handle(tick.Tick())
            await asyncio.sleep(TICK_SECONDS)

    def _recover(self, now: float) -> None:
        if self._failure is not None and not isinstance(
            self._failure, exceptions.DiskFullError
        ):
            raise self._failure
        if now >= self._open_at:
            self._open(now)

    def _accept(self) -> frame_protocol.FrameProtocol:
        link = frame_protocol.FrameProtocol(self._receive, self._remove_connection)
        self._connections.add(link)
        return link

    def _drop_idle_connections(self, now: float) -> None:
        for link in list(self._connections):
            if link.is_open and now - link.received_at > RECEIVE_TIMEOUT_SECONDS:
                self._telemetry.refuse("control.connection", link.peer, "silent")
                link.abort()

    def _remove_connection(self, link: frame_protocol.FrameProtocol) -> None:
        self._connections.discard(link)
        if self._sessions.pop(link.session_id, None) is not None:
            self._handle(node_disconnected.NodeDisconnected(link.session_id))

    def _receive(self, link: frame_protocol.FrameProtocol, data: bytes) -> None:
        if self._instance is None:
            link.abort()
            return
        message = cluster_codec.decode(data)
        if link.remote:
            self._links.record_receipt(link.remote)
        match message:
            case consensus_message.ConsensusMessage():
                self._handle(consensus_arrived.ConsensusArrived(message.envelope))
            case report.Report():
                is_direct = not link.remote
                self._handle(report_arrived.ReportArrived(message, is_direct))
            case hello.Hello():
                self._accept_hello(link, message)
            case alive.Alive():
                if message.number and link.session_id:
                    asked = node_asked.NodeAsked(link.session_id, message.number)
                    self._handle(asked)
            case failure.Failure():
                self._telemetry.refuse(message.step, link.peer, message.reason)
                link.abort()
            case _:
                self._telemetry.refuse(
                    "cluster.receive", link.peer, "unexpected message"
                )

    def _accept_hello(
        self, link: frame_protocol.FrameProtocol, message: hello.Hello
    ) -> None:
        if message.address:
            link.remote = message.address
            self._links.accept(link)
            self._links.record_receipt(message.address)
            return
        self._next_id += 1
        link.session_id = self._next_id
        self._sessions[link.session_id] = link
        self._handle(
            node_connected.NodeConnected(
                link.session_id, message.name, message.wants_upstreams
            )
        )

    def _log_link_change(self, address: str, is_up: bool) -> None:
        step = "control.link_up" if is_up else "control.link_down"
        self._telemetry.log("info", step, peer=address)

    def _handle(self, event: msgspec.Struct) -> None:
        instance = self._instance
        if instance is None:
            self._fail_pending_calls("no open log")
            return
        try:
            for action in instance.core.handle(steady_clock.now(), event):
                self._execute(instance, action)
        except exceptions.StorageError as exc:
            self._handle_disk_failure(exc)
        except Exception as exc:  # one call or message must not end the process
            self._log_error(event, exc)
            if not isinstance(event, _SOFT_EVENTS):
                self._open_at = asyncio.get_running_loop().time() + REOPEN_SECONDS
                self._abandon_instance("unexpected error")

    def _log_error(self, source: msgspec.Struct, exc: Exception) -> None:
        event, detail = type(source).__name__, repr(exc)
        self._telemetry.log("error", "control.event_failed", event=event, detail=detail)

    def _execute(
        self, instance: durable_instance.DurableInstance, action: msgspec.Struct
    ) -> None:
        match action:
            case persist.Persist():
                instance.store.persist(action)
            case save_snapshot.SaveSnapshot():
                instance.store.save_snapshot(action)
            case _:
                try:
                    self._send(action)
                except Exception as exc:  # later actions may have to be persisted
                    self._log_error(action, exc)

    def _send(self, action: msgspec.Struct) -> None:
        match action:
            case send_control.SendControl():
                self._links.send(action.address, action.data)
            case send_reports.SendReports():
                self._links.send(action.address, *action.messages)
            case send_session.SendSession():
                link = self._sessions.get(action.session_id)
                if link is not None:
                    link.send(cluster_codec.encode(action.update))
            case answer_call.AnswerCall():
                self._answer(action, "no quorum in time")
            case log_line.LogLine():
                self._telemetry.log_decision(action.level, action.step, action.fields)
