"""Upstream that misbehaves on demand and reports each run."""

from __future__ import annotations

import functools

import aiocoap

from limpetreel.coap import header
from limpetreel.measure import coap_upstream

FOREIGN_BYTES = 8


class FaultyUpstream(coap_upstream.CoapUpstream):
    """Adds late, doubled and foreign answers, shedding and silence while down.

    Parameters
    ----------
    on_packet : callable
        Takes the name of the upstream, the caller and the key of the request; the
        key is empty for other datagrams and for requests that are shed.
    """

    def __init__(self, name, queue, profile, rng, sender, on_packet):
        super().__init__(name, queue, profile, rng, self._send_answer)
        self.fault = ""
        self.tokens = [b"\x00" * FOREIGN_BYTES]
        self._to_agent = sender
        self._on_packet = on_packet

    def receive(self, caller, datagram):
        """Take a datagram of the agent; see `CoapUpstream.receive`."""
        if self.executor.is_down:
            return
        head = header.read(datagram)
        before = self.runs.total()
        if self.fault == "shed" and head.is_request:
            self._answer(caller, head, int(aiocoap.SERVICE_UNAVAILABLE), b"shed")
        else:
            super().receive(caller, datagram)
        if head.is_request:
            self.tokens.append(head.token)
        key = ""
        if self.runs.total() > before:
            key = aiocoap.Message.decode(datagram).payload.decode()
        self._on_packet(self.name, caller, key)

    def restart(self):
        """Lose all requests and come up cold with a new run id."""
        self.executor.stop()
        self.executor.start(self._queue.now)
        self.run_id += "+"

    def _send_answer(self, caller, datagram):
        deliver = functools.partial(self._to_agent, caller, datagram)
        if self.fault == "late":
            self._queue.after(self._rng.uniform(0.5, 4.0), deliver)
            return
        deliver()
        if self.fault == "twice":
            self._queue.after(self._rng.uniform(0, 1.0), deliver)
        if self.fault == "foreign":
            token = self._rng.choice(self.tokens[-8:])
            wrong = header.replace_token(datagram, token)
            self._to_agent(caller, wrong)
