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

MAX_DETAIL = 200
"""Characters of a refused announcement's fault in the log, which names its values."""


class HttpUpstreamApi(upstream_api.UpstreamApi):
    """Translates announcements and deregistrations of the upstream.

    Parameters
    ----------
    listen : tuple of (str, int)
        Address of the server.
    ready_listen : tuple of (str, int) or None
        Address of the agent's readiness endpoint.
    reader : AnnouncementFormat
        Format of announcements.
    telemetry : Telemetry
        Logs and metrics.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        ready_listen: tuple[str, int] | None,
        reader: announcement_format.AnnouncementFormat,
        telemetry: telemetry.Telemetry,
    ) -> None:
        self._listen = listen
        self._ready_listen = ready_listen
        self._reader = reader
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
            return self._depart(paths.last_part(req.path, paths.DEPART))
        self._telemetry.refuse("upstream.call", req.path, "unknown call")
        return http_response.HttpResponse(404)

    def _announce(self, instance_id: str, body: bytes) -> http_response.HttpResponse:
        """Acknowledge an announcement only if it is in force; others come again."""
        assert self._shell is not None
        decoded = self._reader.decode(instance_id, body)
        if isinstance(decoded, failure.Failure):
            self._telemetry.refuse(decoded.step, instance_id, str(decoded.reason))
            fields = {"instance": instance_id, "detail": decoded.detail[:MAX_DETAIL]}
            self._telemetry.log_decision("warning", "announcement.refused", fields)
            return http_response.HttpResponse(400)
        if not self._shell.announce(decoded):
            return http_response.HttpResponse(503)
        return http_response.HttpResponse(200, b"{}")

    def _depart(self, instance_id: str) -> http_response.HttpResponse:
        assert self._shell is not None
        if not self._shell.depart(instance_id):
            return http_response.HttpResponse(503)
        return http_response.HttpResponse(200, b"{}")
