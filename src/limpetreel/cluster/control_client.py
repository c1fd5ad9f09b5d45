"""Connection of an entry or agent to a control instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

import msgspec

from limpetreel.cluster import fleet_view, list_clock
from limpetreel.cluster.messages import alive, hello, node_codec, report
from limpetreel.core import failure
from limpetreel.runtime import frame_protocol

if TYPE_CHECKING:
    import random

    from limpetreel.cluster import upstream_record
    from limpetreel.cluster.messages import update
    from limpetreel.telemetry import telemetry

MIN_CONNECT_SECONDS = 0.1
MAX_CONNECT_SECONDS = 0.4
"""Bounds of the time limit of dials, which doubles each time that no control instance
accepts. One without power never answers, and all may return soon."""
STAGGER_SECONDS = 0.03
"""Time after which the next control instance is dialled while earlier dials are
pending; the first that accepts is used."""
RECEIVE_TIMEOUT_SECONDS = 1.2
"""Three update intervals without data, after which the client changes to another
control instance."""
UNCONFIRMED_SECONDS = 1.5
"""Time without a lease after which another control instance is tried; longer than an
election."""
RETRY_SECONDS = 0.05
UNLISTED_SECONDS = 5.0
"""Time to keep upstreams that a newly connected control instance does not list; one
that has just started receives reports of all upstreams within a second."""
REPORT_SECONDS = 0.4
"""Interval between reports; control drops a connection after about three are
missing."""

CHECK_SECONDS = 0.05
"""Minimum interval between questions about the list. Control's lease is renewed every
0.1 s, so an earlier answer would often say nothing new."""

OnView = Callable[[fleet_view.FleetView, float], None]


class ControlClient:
    """Keeps the view of the fleet up to date.

    Parameters
    ----------
    name : str
        Name of the node.
    seeds : callable
        Returns the addresses in the settings, which may change.
    wants_upstreams : bool
        Whether the node needs the list of upstreams.
    on_view : callable
        Called with each new view, and the monotonic time in seconds up to which its
        list of upstreams is complete.
    telemetry : Telemetry
        Logs and metrics.
    random : random.Random
        Shuffles the order in which control instances are tried.
    """

    def __init__(
        self,
        name: str,
        seeds: Callable[[], Sequence[str]],
        wants_upstreams: bool,
        on_view: OnView,
        telemetry: telemetry.Telemetry,
        random: random.Random,
    ) -> None:
        self._hello = node_codec.encode(hello.Hello(name, "", wants_upstreams))
        self._seeds = seeds
        self._on_view = on_view
        self._checked_at = float("-inf")
        self._telemetry = telemetry
        self._random = random
        self._known_controls: tuple[str, ...] = ()
        self._left = ""
        self._connect_seconds = MIN_CONNECT_SECONDS
        self._link: frame_protocol.FrameProtocol | None = None
        self._records: dict[str, upstream_record.UpstreamRecord] = {}
        self._unlisted_until: dict[str, float] = {}
        self._confirmed_at = 0.0
        self._list_clock = list_clock.ListClock()
        self._complete_until = float("-inf")
        self._start = random.getrandbits(52)
        self._sequence = 0
        self._record: upstream_record.UpstreamRecord | None = None
        self.view = fleet_view.FleetView()

    def report(self, record: upstream_record.UpstreamRecord) -> None:
        """Report the upstream; repeated until the next report."""
        if record != self._record:
            self._record = record
            self._send_report()

    def check_list(self) -> None:
        """Ask whether the list of upstreams is complete, unless that was just asked."""
        now = asyncio.get_running_loop().time()
        if self._link is not None and now - self._checked_at >= CHECK_SECONDS:
            self._send_alive(self._link, now)

    async def run(self) -> None:
        """Stay connected until cancelled."""
        while True:
            try:
                await self._follow_any()
            except Exception as exc:  # the node would keep its last state for good
                fields = {"detail": repr(exc)}
                self._telemetry.log_decision("error", "control.client_failed", fields)
                if self._link is not None:
                    self._link.abort()
                    self._link = None
            await asyncio.sleep(RETRY_SECONDS)

    async def _follow_any(self) -> None:
        link = await self._connect()
        if link is not None:
            self._connect_seconds = MIN_CONNECT_SECONDS
            await self._follow(link)
        else:
            longer = 2 * self._connect_seconds
            self._connect_seconds = min(MAX_CONNECT_SECONDS, longer)

    def _addresses(self) -> list[str]:
        """Return the control instances, shuffled, with the one left last at the end."""
        addresses = sorted({*self._known_controls, *self._seeds()})
        self._random.shuffle(addresses)
        addresses.sort(key=lambda address: address == self._left)
        return addresses

    async def _connect(self) -> frame_protocol.FrameProtocol | None:
        """Dial control instances in turn and return the first that accepts."""
        dials: set[asyncio.Task[frame_protocol.FrameProtocol | None]] = set()
        accepted = None
        try:
            for address in self._addresses():
                dials.add(asyncio.create_task(self._dial(address)))
                accepted = await self._first_accepted(dials, STAGGER_SECONDS)
                if accepted is not None:
                    return accepted
            return await self._first_accepted(dials, self._connect_seconds)
        finally:
            for task in dials:
                task.cancel()

    async def _first_accepted(
        self,
        dials: set[asyncio.Task[frame_protocol.FrameProtocol | None]],
        limit: float,
    ) -> frame_protocol.FrameProtocol | None:
        """Return the first connection that opens in time; remove dials in vain."""
        until = asyncio.get_running_loop().time() + limit
        while dials and (left := until - asyncio.get_running_loop().time()) > 0:
            done, _ = await asyncio.wait(
                dials, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
            dials -= done
            links = [link for task in done if (link := task.result()) is not None]
            for link in links[1:]:
                link.abort()
            if links:
                return links[0]
        return None

    async def _dial(self, address: str) -> frame_protocol.FrameProtocol | None:
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        link = frame_protocol.FrameProtocol(self._receive, lambda link: None)
        link.remote = address
        try:
            async with asyncio.timeout(self._connect_seconds):
                await loop.create_connection(lambda: link, host, int(port))
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            # The last two are raised for an address in the settings that is wrong.
            link.abort()
            self._telemetry.refuse("control.connect", address, type(exc).__name__)
            return None
        except asyncio.CancelledError:
            link.abort()
            raise
        return link

    async def _follow(self, link: frame_protocol.FrameProtocol) -> None:
        """Use one control instance until it stops responding or loses its quorum."""
        loop = asyncio.get_running_loop()
        address = link.remote
        self._link = link
        self._confirmed_at = loop.time()
        link.send(self._hello)
        self._telemetry.log("info", "control.connected", peer=address)
        reason = ""
        while not reason:
            self._send_report()
            await asyncio.sleep(REPORT_SECONDS)
            reason = self._disconnect_reason(link, loop.time())
        self._link = None
        self._left = address
        self._list_clock.reset()
        self._apply(msgspec.structs.replace(self.view, is_list_current=False))
        link.abort()
        self._telemetry.log("warning", "control.lost", peer=address, reason=reason)

    def _disconnect_reason(self, link: frame_protocol.FrameProtocol, now: float) -> str:
        if not link.is_open:
            return "connection closed"
        if now - link.received_at > RECEIVE_TIMEOUT_SECONDS:
            return "silent"
        if now - self._confirmed_at > UNCONFIRMED_SECONDS:
            return "without a quorum"
        return ""

    def _send_report(self) -> None:
        if self._link is None:
            return
        if self._record is None:
            self._send_alive(self._link, asyncio.get_running_loop().time())
            return
        self._sequence += 1
        new_report = report.Report(self._start, self._sequence, self._record)
        self._link.send(node_codec.encode(new_report))

    def _send_alive(self, link: frame_protocol.FrameProtocol, now: float) -> None:
        self._checked_at = now
        message = alive.Alive(self.view.revision, self._list_clock.ask(now))
        link.send(node_codec.encode(message))

    def _receive(self, link: frame_protocol.FrameProtocol, data: bytes) -> None:
        message = node_codec.decode(data)
        if isinstance(message, failure.Failure):
            self._telemetry.refuse("control.update", link.peer, "malformed")
            return
        now = asyncio.get_running_loop().time()
        if message.lease_ms > 0:
            self._confirmed_at = now
        self._list_clock.record(message)
        if message.controls:
            self._known_controls = message.controls
        self._merge(message)

    def _merge(self, message: update.Update) -> None:
        now = asyncio.get_running_loop().time()
        self._merge_upstreams(message, now)
        previous = self.view
        configuration, zones_out = previous.configuration, previous.zones_out
        if message.revision >= previous.revision:
            # A control instance that has just restarted may be behind.
            zones_out = frozenset(message.zones_out)
            configuration = message.configuration or configuration
        view = fleet_view.FleetView(
            max(message.revision, previous.revision),
            configuration,
            zones_out,
            tuple(self._records.values()),
            self._list_clock.is_current,
        )
        self._apply(view)

    def _apply(self, view: fleet_view.FleetView) -> None:
        previous, until = self.view, self._list_clock.complete_until
        if view != previous:
            self.view = view
            self._log_change(previous, view)
        elif until <= self._complete_until:
            return
        self._complete_until = until
        self._on_view(self.view, until)

    def _merge_upstreams(self, message: update.Update, now: float) -> None:
        if message.is_full:
            self._unlisted_until = dict.fromkeys(self._records, now + UNLISTED_SECONDS)
        for record in message.upstreams:
            self._records[record.name] = record
            self._unlisted_until.pop(record.name, None)
        expired = [n for n, at in self._unlisted_until.items() if now > at]
        for name in (*message.removed, *expired):
            self._records.pop(name, None)
            self._unlisted_until.pop(name, None)

    def _log_change(
        self, previous: fleet_view.FleetView, view: fleet_view.FleetView
    ) -> None:
        before, after = previous.configuration, view.configuration
        if after is not None and after is not before:
            fields: dict[str, Any] = {
                "version": after.version,
                "routes": len(after.routes),
                "cold_per_second": {s.name: s.cold_per_second for s in after.services},
            }
            self._telemetry.log("info", "configuration.applied", **fields)
        if previous.zones_out != view.zones_out:
            zones = ",".join(sorted(view.zones_out))
            self._telemetry.log("info", "zones.applied", out=zones)
