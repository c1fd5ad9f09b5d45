"""Stand-in for a user's service."""

from __future__ import annotations

import asyncio
import collections
import json
import time
import uuid

import aiocoap
from aiocoap import resource

from limpetreel.workload import cold_start, upstream_settings

ANNOUNCE_SECONDS = 0.5
BUSY_SLOWDOWN = 3.0
"""Factor on the service time while more runs than the upstream bears."""


class Upstream:
    """CoAP server with slots, a cold start and a record of what it ran.

    Parameters
    ----------
    cfg : UpstreamSettings
        Settings of the upstream.
    """

    def __init__(self, cfg: upstream_settings.UpstreamSettings) -> None:
        self.cfg = cfg
        self.run_id = uuid.uuid4().hex
        self.draining = False
        self.runs: collections.Counter[str] = collections.Counter()
        self.overloads = 0
        self._cold_start = cold_start.ColdStart(cfg.slots, cfg.cold_s)
        self._started_at = time.monotonic()
        self._open = 0

    async def serve(self, stopped: asyncio.Event) -> None:
        """Answer requests until stopped.

        Parameters
        ----------
        stopped : asyncio.Event
            Set to begin the planned stop.
        """
        context = await aiocoap.Context.create_server_context(
            _Site(self),
            bind=(self.cfg.host, self.cfg.port),
            transports=["simplesocketserver"],
        )
        announcer = asyncio.create_task(self._announce())
        await stopped.wait()
        self.draining = True
        while self._open:
            await asyncio.sleep(0.02)
        announcer.cancel()
        await context.shutdown()

    async def run(self, key: str) -> str:
        """Run one request and return the text of its answer."""
        self.runs[key] += 1
        self._open += 1
        bears = self._cold_start.capacity(time.monotonic() - self._started_at)
        slow = self._open > bears
        self.overloads += slow
        try:
            await asyncio.sleep(self.cfg.service_s * (BUSY_SLOWDOWN if slow else 1))
        finally:
            self._open -= 1
        return f"{self.cfg.name} {key}"

    async def _announce(self) -> None:
        """Tell the agent about this upstream again and again."""
        context = await aiocoap.Context.create_client_context(transports=["simple6"])
        uri = f"coap://{self.cfg.agent[0]}:{self.cfg.agent[1]}/announce"
        while True:
            state = "draining" if self.draining else "ready"
            body = {
                "class": self.cfg.class_name,
                "run_id": self.run_id,
                "state": state,
            }
            message = aiocoap.Message(
                code=aiocoap.POST,
                uri=uri,
                payload=json.dumps(body).encode(),
                mtype=aiocoap.NON,
            )
            sending = context.request(message)
            await asyncio.sleep(ANNOUNCE_SECONDS)
            sending.response.cancel()


class _Site(resource.Site):
    """Resources of the stand-in upstream."""

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self.add_resource(["work"], _Work(upstream))
        self.add_resource(["report"], _Report(upstream))
        self.add_resource(["runs"], _Runs(upstream))


class _Work(resource.Resource):
    """Runs a request; the payload or the query names it."""

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self._upstream = upstream

    async def render_get(self, req: aiocoap.Message) -> aiocoap.Message:
        """Run an idempotent request."""
        return await self._run(req, aiocoap.CONTENT)

    async def render_post(self, req: aiocoap.Message) -> aiocoap.Message:
        """Run a request that must not run twice."""
        return await self._run(req, aiocoap.CHANGED)

    async def _run(self, req: aiocoap.Message, code: int) -> aiocoap.Message:
        key = req.payload.decode() or "".join(req.opt.uri_query)
        text = await self._upstream.run(key)
        return aiocoap.Message(code=code, payload=text.encode())


class _Report(resource.Resource):
    """A long answer that takes several blocks."""

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self._upstream = upstream

    async def render_get(self, req: aiocoap.Message) -> aiocoap.Message:
        """Return 8 KiB."""
        text = await self._upstream.run("report")
        return aiocoap.Message(payload=(text + " ").encode().ljust(8192, b"."))


class _Runs(resource.Resource):
    """What ran here, for the checks of the demo; callers do not use it."""

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self._upstream = upstream

    async def render_get(self, req: aiocoap.Message) -> aiocoap.Message:
        """Return the number of runs by key."""
        body = {"runs": self._upstream.runs, "overloads": self._upstream.overloads}
        return aiocoap.Message(payload=json.dumps(body).encode())
