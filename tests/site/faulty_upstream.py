"""Upstream with switchable faults that reports each packet that it receives."""

from __future__ import annotations

import functools

import aiocoap

from limpetreel.coap import header
from limpetreel.measure import coap_upstream

FOREIGN_TOKEN_BYTES = 8


class FaultyUpstream(coap_upstream.CoapUpstream):
    """Adds late, duplicate and foreign answers, shedding, and no answers while down.

    Parameters
    ----------
    on_packet : callable
        Called with the name of the upstream, the caller and the key of the request
        that runs; the key is empty for other datagrams and for shed requests.

    Attributes
    ----------
    fault : str
        Active fault: "late", "twice", "foreign" or "shed"; empty without a fault.
    """

    def __init__(self, name, queue, profile, rng, sender, on_packet):
        super().__init__(name, queue, profile, rng, self._send_answer)
        self.fault = ""
        self.tokens = [b"\x00" * FOREIGN_TOKEN_BYTES]
        self._send_to_agent = sender
        self._on_packet = on_packet

    def receive(self, caller, datagram):
        """Handle a datagram of the agent; see `CoapUpstream.receive`."""
        if self.executor.is_down:
            return
        request = header.read(datagram)
        runs_before = self.runs.total()
        if self.fault == "shed" and request.is_request:
            self._answer(caller, request, int(aiocoap.SERVICE_UNAVAILABLE), b"shed")
        else:
            super().receive(caller, datagram)
        if request.is_request:
            self.tokens.append(request.token)
        key = ""
        if self.runs.total() > runs_before:
            key = aiocoap.Message.decode(datagram).payload.decode()
        self._on_packet(self.name, caller, key)

    def restart(self):
        """Drop all requests and start cold under a new run id."""
        self.executor.stop()
        self.executor.start(self._queue.now)
        self.run_id += "+"

    def _send_answer(self, caller, datagram):
        deliver = functools.partial(self._send_to_agent, caller, datagram)
        if self.fault == "late":
            self._queue.after(self._rng.uniform(0.5, 4.0), deliver)
            return
        deliver()
        if self.fault == "twice":
            self._queue.after(self._rng.uniform(0, 1.0), deliver)
        if self.fault == "foreign":
            token = self._rng.choice(self.tokens[-8:])
            foreign_answer = header.replace_token(datagram, token)
            self._send_to_agent(caller, foreign_answer)
