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

ANNOUNCE_INTERVAL_SECONDS = 0.5
OVERLOAD_SLOWDOWN = 3.0
"""Factor on the service time of a request that starts above the capacity."""


class Upstream:
    """CoAP server with limited capacity, a cold start and counts of its runs.

    Parameters
    ----------
    cfg : UpstreamSettings
        Settings of the upstream.

    Attributes
    ----------
    run_id : str
        Identifier of this start of the upstream.
    draining : bool
        Whether the planned stop has begun.
    runs : collections.Counter of str
        Number of runs by request key.
    overloads : int
        Number of requests that started above the capacity.
    """

    def __init__(self, cfg: upstream_settings.UpstreamSettings) -> None:
        self.cfg = cfg
        self.run_id = uuid.uuid4().hex
        self.draining = False
        self.runs: collections.Counter[str] = collections.Counter()
        self.overloads = 0
        self._cold_start = cold_start.ColdStart(cfg.slots, cfg.cold_s)
        self._started_at = time.monotonic()
        self._active = 0

    async def serve(self, stopped: asyncio.Event) -> None:
        """Answer requests until stopped.

        Parameters
        ----------
        stopped : asyncio.Event
            Set to begin the planned stop, which waits for running requests.
        """
        context = await aiocoap.Context.create_server_context(
            _Site(self),
            bind=(self.cfg.host, self.cfg.port),
            transports=["simplesocketserver"],
        )
        announcer = asyncio.create_task(self._announce())
        await stopped.wait()
        self.draining = True
        while self._active:
            await asyncio.sleep(0.02)
        announcer.cancel()
        await context.shutdown()

    async def run(self, key: str) -> str:
        """Run one request and return the text of its answer."""
        self.runs[key] += 1
        self._active += 1
        capacity = self._cold_start.capacity(time.monotonic() - self._started_at)
        is_overloaded = self._active > capacity
        self.overloads += is_overloaded
        try:
            await asyncio.sleep(
                self.cfg.service_s * (OVERLOAD_SLOWDOWN if is_overloaded else 1)
            )
        finally:
            self._active -= 1
        return f"{self.cfg.name} {key}"

    async def _announce(self) -> None:
        """Announce this upstream to its agent periodically."""
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
            announcement = context.request(message)
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)
            announcement.response.cancel()


class _Site(resource.Site):
    """Resources of the stand-in upstream."""

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self.add_resource(["work"], _Work(upstream))
        self.add_resource(["report"], _Report(upstream))
        self.add_resource(["runs"], _Runs(upstream))


class _Work(resource.Resource):
    """Runs a request whose key is in the payload or the query."""

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
    """Long answer that takes several blocks."""

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self._upstream = upstream

    async def render_get(self, req: aiocoap.Message) -> aiocoap.Message:
        """Return 8 KiB."""
        text = await self._upstream.run("report")
        return aiocoap.Message(payload=(text + " ").encode().ljust(8192, b"."))


class _Runs(resource.Resource):
    """Counts for the checks of the demonstration; callers do not request them."""

    def __init__(self, upstream: Upstream) -> None:
        super().__init__()
        self._upstream = upstream

    async def render_get(self, req: aiocoap.Message) -> aiocoap.Message:
        """Return the runs by request key and the number of overloads."""
        body = {"runs": self._upstream.runs, "overloads": self._upstream.overloads}
        return aiocoap.Message(payload=json.dumps(body).encode())
