"""Readiness endpoint of an entry, polled by the routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.platform import paths
from limpetreel.runtime import http_response, http_server
from limpetreel.streams import ready_api

if TYPE_CHECKING:
    from collections.abc import Callable

    from limpetreel.runtime import http_request
    from limpetreel.telemetry import telemetry


class HttpReadyApi(ready_api.ReadyApi):
    """Answers 200 while the entry is ready.

    Parameters
    ----------
    listen : tuple of (str, int)
        Address of the server.
    telemetry : Telemetry
        Logs and metrics.
    """

    def __init__(self, listen: tuple[str, int], telemetry: telemetry.Telemetry) -> None:
        self._listen = listen
        self._is_ready: Callable[[], bool] = lambda: False
        self._server = http_server.HttpServer(self._serve, telemetry.refuse)

    async def start(self, is_ready: Callable[[], bool]) -> None:
        """Start serving."""
        self._is_ready = is_ready
        await self._server.start(*self._listen)

    async def close(self) -> None:
        """Stop accepting calls and finish those in progress."""
        await self._server.close()

    async def _serve(self, req: http_request.HttpRequest) -> http_response.HttpResponse:
        if (req.method, req.path) != ("GET", paths.READY):
            return http_response.HttpResponse(404)
        return http_response.HttpResponse(200 if self._is_ready() else 503)
