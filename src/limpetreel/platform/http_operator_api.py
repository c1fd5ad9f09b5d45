"""Calls of operators over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel import exceptions
from limpetreel.cluster import call_status, cluster_shell, cluster_state
from limpetreel.cluster.commands import set_configuration, set_zone
from limpetreel.platform import paths
from limpetreel.runtime import http_response, http_server

if TYPE_CHECKING:
    from limpetreel.cluster import command_codec
    from limpetreel.cluster.actions import answer_call
    from limpetreel.configuration import document_parser
    from limpetreel.runtime import http_request
    from limpetreel.telemetry import telemetry

_STATUS = {
    call_status.CallStatus.DONE: 200,
    call_status.CallStatus.REDIRECT: 307,
    call_status.CallStatus.UNAVAILABLE: 503,
    call_status.CallStatus.MISSING: 503,
}


class HttpOperatorApi(cluster_shell.OperatorApi):
    """Translates calls of operators into changes and reads.

    Parameters
    ----------
    listen : tuple of (str, int)
        Address of the server; other control instances have the same port.
    parser : DocumentParser
        Format of configuration documents.
    data_centres : frozenset of str
        All data centres.
    telemetry : Telemetry
        Logs and metrics.
    """

    def __init__(
        self,
        listen: tuple[str, int],
        parser: document_parser.DocumentParser,
        data_centres: frozenset[str],
        telemetry: telemetry.Telemetry,
    ) -> None:
        self._listen = listen
        self._parser = parser
        self._data_centres = data_centres
        self._telemetry = telemetry
        self._server = http_server.HttpServer(self._serve, telemetry.refuse)
        self._shell: cluster_shell.ClusterShell | None = None

    async def start(self, shell: cluster_shell.ClusterShell) -> None:
        """Start serving."""
        self._shell = shell
        await self._server.start(*self._listen)

    async def close(self) -> None:
        """Stop accepting calls and finish those in progress."""
        await self._server.close()

    async def _serve(self, req: http_request.HttpRequest) -> http_response.HttpResponse:
        assert self._shell is not None
        if (req.method, req.path) == ("GET", paths.READ_CONFIGURATION):
            return self._respond(req, await self._shell.read())
        if req.method != "POST":
            return self._reject(req, 405, f"method {req.method} is not supported")
        command = self._command(req)
        if isinstance(command, http_response.HttpResponse):
            return command
        return self._respond(req, await self._shell.change(command))

    def _command(
        self, req: http_request.HttpRequest
    ) -> command_codec.Change | http_response.HttpResponse:
        if req.path == paths.REPLACE_CONFIGURATION:
            try:
                parsed = self._parser.parse(req.body)
            except exceptions.DocumentError as exc:
                return self._reject(req, 400, exc.detail)
            document = cluster_state.compress(req.body)
            return set_configuration.SetConfiguration(parsed.version, document)
        for prefix, is_out in (
            (paths.TAKE_ZONE_OUT, True),
            (paths.TAKE_ZONE_IN, False),
        ):
            if req.path.startswith(prefix):
                zone = paths.last_part(req.path, prefix)
                if zone not in self._data_centres:
                    return self._reject(req, 404, f"unknown zone {zone!r}")
                return set_zone.SetZone(zone, is_out)
        return self._reject(req, 404, "unknown path")

    def _reject(
        self, req: http_request.HttpRequest, status: int, detail: str
    ) -> http_response.HttpResponse:
        fields = {"call": req.path, "status": status, "detail": detail}
        self._telemetry.log_decision("warning", "operator.refused", fields)
        body = msgspec.json.encode({"Error": detail})
        return http_response.HttpResponse(status, body)

    def _respond(
        self, req: http_request.HttpRequest, answer: answer_call.AnswerCall
    ) -> http_response.HttpResponse:
        status = _STATUS[answer.status]
        fields: dict[str, str | int] = {"call": req.path, "status": status}
        location = ""
        if answer.leader is not None:
            fields["leader"] = answer.leader
            location = f"http://{answer.leader}:{self._listen[1]}{req.path}"
        self._telemetry.log_decision("info", "operator.answered", fields)
        body = answer.document or b""
        if status == 503:
            body = msgspec.json.encode({"Error": str(answer.status)})
        return http_response.HttpResponse(status, body, location)
