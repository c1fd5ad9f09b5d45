"""Core connected to the simulated network."""

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

    ActionHandler = Callable[[msgspec.Struct], None]

TICK_SECONDS = 0.05
CLUSTER_KEY = b"measurement cluster key"


class FakeNode:
    """Runs a core on a simulated clock and network.

    Parameters
    ----------
    queue : EventQueue
        Clock and event queue.
    network : FakeNetwork
        Simulated network.
    node_address : Address
        Address of the node.
    zone : str
        Zone of the node.
    node_id, incarnation : int
        Identity in the frames of the node.
    node_core : Core
        Core of the node.
    action_handler : callable
        Executes the actions that send no frame.
    """

    def __init__(
        self,
        queue: event_queue.EventQueue,
        network: fake_network.FakeNetwork,
        node_address: address.Address,
        zone: str,
        node_id: int,
        incarnation: int,
        node_core: core.Core,
        action_handler: ActionHandler,
    ) -> None:
        self.core = node_core
        self.zone = zone
        self.address = node_address
        self.is_up = True
        self._queue = queue
        self._network = network
        self._codec = frame_codec.FrameCodec(CLUSTER_KEY, node_id, incarnation)
        self._handle_action = action_handler
        network.attach(node_address, zone, self._receive)
        queue.after(0.0, self._tick)

    def stop(self) -> None:
        """Stop the node without a graceful leave."""
        if self.is_up:
            # Detach only once: the address may belong to another process afterwards.
            self.is_up = False
            self._network.detach(self.address)

    def handle(self, event: msgspec.Struct) -> None:
        """Pass an event to the core and execute its actions."""
        if not self.is_up:
            return
        for action in self.core.handle(self._queue.now, event):
            self.execute(action)

    def execute(self, action: msgspec.Struct) -> None:
        """Execute one action."""
        if isinstance(action, send_frame.SendFrame):
            data = self._codec.encode(action.kind, action.target, action.body)
            self._network.send(self.address, action.destination, data)
        else:
            self._handle_action(action)

    def _receive(self, source: address.Address, data: bytes) -> None:
        received = self._codec.decode(data)
        if isinstance(received, frame.Frame):
            self.handle(frame_arrived.FrameArrived(source, received))

    def _tick(self) -> None:
        if self.is_up:
            self.handle(tick.Tick())
            self._queue.after(TICK_SECONDS, self._tick)
