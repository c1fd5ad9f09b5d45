"""One core on the fake network."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.node import frame_arrived, send_frame, tick
from limpetreel.wire import frame, frame_codec

if TYPE_CHECKING:
    from collections.abc import Callable

    import msgspec

    from limpetreel.core import core
    from limpetreel.measure import event_queue, fake_network
    from limpetreel.wire import address

    Other = Callable[[msgspec.Struct], None]

TICK_SECONDS = 0.05
CLUSTER_KEY = b"measurement cluster key"


class FakeNode:
    """Shell of a core without sockets.

    Parameters
    ----------
    queue : EventQueue
        Clock and events.
    network : FakeNetwork
        Network.
    where : Address
        Address of the node.
    zone : str
        Zone of the node.
    node_id, incarnation : int
        Identity for frames.
    decisions : Core
        The core.
    other : callable
        Carries out actions that are not frames.
    """

    def __init__(
        self,
        queue: event_queue.EventQueue,
        network: fake_network.FakeNetwork,
        where: address.Address,
        zone: str,
        node_id: int,
        incarnation: int,
        decisions: core.Core,
        other: Other,
    ) -> None:
        self.core = decisions
        self.zone = zone
        self.address = where
        self.is_up = True
        self._queue = queue
        self._network = network
        self._codec = frame_codec.FrameCodec(CLUSTER_KEY, node_id, incarnation)
        self._other = other
        network.attach(where, zone, self._receive)
        queue.after(0.0, self._tick)

    def stop(self) -> None:
        """End the process without notice."""
        if self.is_up:
            # Afterwards the address may belong to another process.
            self.is_up = False
            self._network.detach(self.address)

    def handle(self, event: msgspec.Struct) -> None:
        """Let the core take an event and carry out its actions."""
        if not self.is_up:
            return
        for action in self.core.handle(self._queue.now, event):
            self.do(action)

    def do(self, action: msgspec.Struct) -> None:
        """Carry out one action."""
        if isinstance(action, send_frame.SendFrame):
            data = self._codec.encode(action.kind, action.target, action.body)
            self._network.send(self.address, action.destination, data)
        else:
            self._other(action)

    def _receive(self, source: address.Address, data: bytes) -> None:
        received = self._codec.decode(data)
        if isinstance(received, frame.Frame):
            self.handle(frame_arrived.FrameArrived(source, received))

    def _tick(self) -> None:
        if self.is_up:
            self.handle(tick.Tick())
            self._queue.after(TICK_SECONDS, self._tick)
