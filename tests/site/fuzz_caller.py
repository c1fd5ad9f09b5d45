"""Caller that checks what it is told."""

from __future__ import annotations

import aiocoap

from limpetreel.coap import header
from limpetreel.measure import fake_caller
from limpetreel.requests import outcome as outcomes

NOT_RUN_TEXT = b"not run"


class FuzzCaller(fake_caller.FakeCaller):
    """Keeps its datagrams for later copies; an upstream's own 5.03 is an answer."""

    def __init__(self, *args):
        super().__init__(*args)
        self.datagrams = []

    def receive(self, datagram):
        """Take an answer; see `FakeCaller.receive`."""
        head = header.read(datagram)
        if head.code == int(aiocoap.SERVICE_UNAVAILABLE):
            message = aiocoap.Message.decode(datagram)
            if message.payload != NOT_RUN_TEXT:
                found = self._open.get(head.token)
                if found is not None:
                    found.received_outcomes.append(outcomes.Outcome.ANSWERED)
                return
        super().receive(datagram)

    def _send(self, made, datagram, timeout, left):
        if datagram not in self.datagrams:
            self.datagrams.append(datagram)
        super()._send(made, datagram, timeout, left)
