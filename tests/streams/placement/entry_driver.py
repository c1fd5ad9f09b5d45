"""One entry whose agents are answered for by a test."""

from __future__ import annotations

import itertools

from limpetreel.cluster import fleet_view, upstream_record
from limpetreel.node import tick
from limpetreel.streams import stream_entry_core, stream_key
from limpetreel.streams.actions import log_line, send_caller, send_node
from limpetreel.streams.events import caller_packet, fleet_changed, node_datagram
from limpetreel.streams.messages import offer, stream_codec
from tests.streams import stream_site

PORT = 8172


class EntryDriver:
    """Entry core with scripted agents.

    Parameters
    ----------
    names : sequence of str
        Agents of the service.
    slots : int
        Slots of each upstream.
    configuration : Configuration or None
        Configuration in force, that of `stream_site` by default.
    zones : dict or None
        Data centres of agents that are not in that of the entry, by name.
    """

    def __init__(self, names=(), slots=2, configuration=None, zones=None):
        self.core = stream_entry_core.StreamEntryCore(stream_site.CODEC, "zone-a", 1)
        self.cfg = configuration or stream_site.make_configuration()
        self.slots = slots
        self.zones = zones or {}
        self.answers = lambda message: None
        self.offers = []
        self.lines = []
        self.resets = 0
        self._ports = itertools.count(1024)
        if names:
            self.update(0.0, names)

    def update(self, now, names, configuration=True, is_list_current=False):
        """Pass an update from control that lists some agents.

        An agent serves the service in its name, if there is one.
        """
        services = [s.name for s in self.cfg.services]
        records = tuple(
            upstream_record.UpstreamRecord(
                n,
                n,
                PORT,
                self.zones.get(n, "zone-a"),
                next((s for s in services if n.startswith(s)), stream_site.SERVICE),
                True,
                self.slots,
            )
            for n in names
        )
        cfg = self.cfg if configuration else None
        view = fleet_view.FleetView(1, cfg, frozenset(), records, is_list_current)
        self.handle(now, fleet_changed.FleetChanged(view))

    def open(self, now, route=(stream_site.HOST, stream_site.PORT)):
        """Pass the opening packet of a new flow and return the key of the flow."""
        number = next(self._ports)
        caller = stream_key.pack(f"100.64.{number >> 15}.1", number % 32768 + 1)
        flow = caller + stream_key.pack(*route)
        self.open_again(now, flow)
        return flow

    def open_again(self, now, flow):
        """Pass a copy of the opening packet of a flow."""
        packet = stream_site.make_packet(flow, stream_site.SYN)
        self.handle(now, caller_packet.CallerPacket(packet))

    def tick(self, now):
        """Pass a tick."""
        self.handle(now, tick.Tick())

    def answer(self, now, name, message):
        """Pass a message of an agent."""
        data = stream_codec.encode(message)
        self.handle(now, node_datagram.NodeDatagram(name, PORT, data))

    def handle(self, now, event):
        """Pass an event to the core and answer its offers."""
        for action in self.core.handle(now, event):
            if isinstance(action, send_caller.SendCaller):
                self.resets += 1
            elif isinstance(action, log_line.LogLine):
                self.lines.append(action)
            elif isinstance(action, send_node.SendNode):
                self._offered(now, action)

    def _offered(self, now, action):
        message = stream_codec.decode(action.data)
        if not isinstance(message, offer.Offer):
            return
        self.offers.append((action.address[0], message))
        reply = self.answers(message)
        if reply is not None:
            self.answer(now, action.address[0], reply)
