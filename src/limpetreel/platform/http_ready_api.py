"""Question of the routers whether an entry is ready."""

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
    watch : Telemetry
        Logs and metrics.
    """

    def __init__(self, listen: tuple[str, int], watch: telemetry.Telemetry) -> None:
        self._listen = listen
        self._is_ready: Callable[[], bool] = lambda: False
        self._server = http_server.HttpServer(self._serve, watch.refuse)

    async def start(self, is_ready: Callable[[], bool]) -> None:
        """Begin to serve."""
        self._is_ready = is_ready
        await self._server.start(*self._listen)

    async def close(self) -> None:
        """Stop to serve, and finish the calls that are being answered."""
        await self._server.close()

    async def _serve(self, req: http_request.HttpRequest) -> http_response.HttpResponse:
        if (req.method, req.path) != ("GET", paths.READY):
            return http_response.HttpResponse(404)
        return http_response.HttpResponse(200 if self._is_ready() else 503)
