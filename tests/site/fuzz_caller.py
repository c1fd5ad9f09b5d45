"""Caller that keeps its datagrams and tells an upstream's 5.03 from a refusal."""

from __future__ import annotations

import aiocoap

from limpetreel.coap import header
from limpetreel.measure import fake_caller
from limpetreel.requests import outcome as outcomes

NOT_RUN_PAYLOAD = b"not run"


class FuzzCaller(fake_caller.FakeCaller):
    """Keeps its datagrams, which a test may send again.

    A 5.03 of an upstream that sheds the request counts as an answer; a 5.03 of an
    agent has the payload "not run" and counts as a refusal.
    """

    def __init__(self, *args):
        super().__init__(*args)
        self.datagrams = []

    def receive(self, datagram):
        """Handle an answer; see `FakeCaller.receive`."""
        answer = header.read(datagram)
        if answer.code == int(aiocoap.SERVICE_UNAVAILABLE):
            message = aiocoap.Message.decode(datagram)
            if message.payload != NOT_RUN_PAYLOAD:
                request = self._open.get(answer.token)
                if request is not None:
                    request.received_outcomes.append(outcomes.Outcome.ANSWERED)
                return
        super().receive(datagram)

    def _send(self, request, datagram, timeout, retransmits_left):
        if datagram not in self.datagrams:
            self.datagrams.append(datagram)
        super()._send(request, datagram, timeout, retransmits_left)
