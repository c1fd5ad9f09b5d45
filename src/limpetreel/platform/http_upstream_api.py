"""Calls of the upstream beside an agent over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.core import failure
from limpetreel.platform import announcement_format, paths
from limpetreel.runtime import http_response, http_server
from limpetreel.streams import upstream_api

if TYPE_CHECKING:
    from limpetreel.runtime import http_request
    from limpetreel.streams import stream_agent_shell
    from limpetreel.telemetry import telemetry


class HttpUpstreamApi(upstream_api.UpstreamApi):
    """Translates announcements and deregistrations of the upstream.

    Parameters
    ----------
    listen : tuple of (str, int)
        Address of the server.
    ready_listen : tuple of (str, int) or None
        Address of the agent's readiness endpoint.
    telemetry : Telemetry
        Logs and metrics.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        ready_listen: tuple[str, int] | None,
        telemetry: telemetry.Telemetry,
    ) -> None:
        self._listen = listen
        self._ready_listen = ready_listen
        self._telemetry = telemetry
        self._server = http_server.HttpServer(self._serve, telemetry.refuse)
        self._ready_server = http_server.HttpServer(self._serve, telemetry.refuse)
        self._shell: stream_agent_shell.StreamAgentShell | None = None

    async def start(self, shell: stream_agent_shell.StreamAgentShell) -> None:
        """Start serving."""
        self._shell = shell
        await self._server.start(*self._listen)
        if self._ready_listen is not None:
            await self._ready_server.start(*self._ready_listen)

    async def close(self) -> None:
        """Stop accepting calls and finish those in progress."""
        await self._server.close()
        if self._ready_listen is not None:
            await self._ready_server.close()

    async def _serve(self, req: http_request.HttpRequest) -> http_response.HttpResponse:
        assert self._shell is not None
        if (req.method, req.path) == ("GET", paths.READY):
            return http_response.HttpResponse(200 if self._shell.is_ready else 503)
        if req.method == "POST" and req.path.startswith(paths.ANNOUNCE):
            instance_id = paths.last_part(req.path, paths.ANNOUNCE)
            return self._announce(instance_id, req.body)
        if req.method == "POST" and req.path.startswith(paths.DEPART):
            instance_id = paths.last_part(req.path, paths.DEPART)
            self._shell.depart(instance_id)
            return http_response.HttpResponse(200, b"{}")
        self._telemetry.refuse("upstream.call", req.path, "unknown call")
        return http_response.HttpResponse(404)

    def _announce(self, instance_id: str, body: bytes) -> http_response.HttpResponse:
        assert self._shell is not None
        decoded = announcement_format.decode(instance_id, body)
        if isinstance(decoded, failure.Failure):
            self._telemetry.refuse(decoded.step, instance_id, decoded.detail)
            return http_response.HttpResponse(400)
        if decoded.unknown_state is not None:
            fields = {"instance": instance_id, "state": decoded.unknown_state}
            self._telemetry.log_decision("warning", "upstream.unknown_state", fields)
        self._shell.announce(decoded)
        return http_response.HttpResponse(200, b"{}")
