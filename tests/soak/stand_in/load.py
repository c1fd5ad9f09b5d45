"""Clients that keep flows open for many requests (PROTOCOL.md, "Flows")."""

from __future__ import annotations

import asyncio
import itertools

from tests.soak.stand_in import deployment

_NUMBERS = itertools.count(1)


class LongFlows:
    """Clients with one open flow each, which send a request now and then.

    A flow that ends is replaced by a new one from a new port. `pause_s` is the time
    between two requests of a flow in seconds, or a function that draws it.
    """

    def __init__(self, site, host, port, per_client, pause_s=0.3, time_limit=2.0):
        self.site, self.host, self.port = site, host, port
        self.pause_s = pause_s if callable(pause_s) else lambda: pause_s
        self.time_limit = time_limit
        self.outcomes = {}
        self.is_stopping = False
        loop = asyncio.get_running_loop()
        self.tasks = [
            loop.create_task(self._run(client))
            for client in site.clients
            for _ in range(per_client)
        ]

    async def stop(self):
        """Let the requests in progress end."""
        self.is_stopping = True
        await asyncio.gather(*self.tasks)

    def _count(self, result):
        self.outcomes[result] = self.outcomes.get(result, 0) + 1

    async def _run(self, client):
        while not self.is_stopping:
            flow = client.new_flow(self.host, self.port)
            result = await flow.open()
            if result != "open":
                self._count(f"open {result}")
                await asyncio.sleep(0.1)
                continue
            while (
                not self.is_stopping and not flow.is_over and not flow.end.has_peer_fin
            ):
                number = f"r{next(_NUMBERS)}"
                self.site.note("send", request=number, flow=flow.key)
                result = await flow.request(number, self.time_limit)
                self.site.note("result", request=number, result=result)
                self._count(result)
                if result != "answered":
                    flow.finish()
                    break
                await asyncio.sleep(self.pause_s())
            flow.close()


def broken_flows(site):
    """Return resets of the system on flows that a living target holds.

    The target has had no impairment for `ContactMs`: a flow that was opened before its
    last crash has ended, and one that is reset soon after that crash doesn't count.
    """
    contact = deployment.BOUNDS["ContactMs"] / 1000
    found = []
    for at, what, fields in site.notes:
        if what != "reset" or fields["by"] != "system" or not fields["open"]:
            continue
        opened = [
            (t, f["target"])
            for t, w, f in site.notes
            if w == "open" and f["flow"] == fields["flow"] and t <= at
        ]
        if not opened:
            continue
        since, name = opened[-1]
        since = min(since, at - contact)
        impaired = [
            u
            for u, w, f in site.notes
            if w in ("crash", "boot") and f["target"] == name and since <= u <= at
        ]
        if not impaired:
            found.append((at, fields["flow"], name))
    return found
