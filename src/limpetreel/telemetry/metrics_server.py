"""HTTP server of the metrics; imported only if its address is set."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from limpetreel.runtime import lean_imports

if TYPE_CHECKING:
    import aioprometheus

    from limpetreel.telemetry import metrics

Refuse = Callable[[str, object, str], None]

STEP = "metrics.request"
MAX_REQUEST_BYTES = 8192
REQUEST_SECONDS = 5.0
MAX_CONNECTIONS = 8
BUCKETS_SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
"""From the fastest path to an agent up to the timeout of the callers."""
_PREFIX = "limpetreel_"
_COUNTER_SUFFIX = "_total"
_HEADERS_END = b"\r\n\r\n"


class MetricsServer:
    """Answers ``GET /metrics`` in the text format of Prometheus.

    The HTTP server of the metrics library is not used because it adds 15 MB to a
    process, and each role has a budget of 64 MB.

    Parameters
    ----------
    metrics : Metrics
        Metrics to serve.
    node, role : str
        Values of the labels that every metric has.
    refuse : callable
        Called with step, peer and reason for each rejected request.
    """

    def __init__(
        self, metrics: metrics.Metrics, node: str, role: str, refuse: Refuse
    ) -> None:
        self._metrics = metrics
        self._labels = {"node": node, "role": role}
        self._refuse = refuse
        self._connections = 0
        self._histograms: dict[str, aioprometheus.Histogram] = {}
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening; port 0 selects any free port."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_REQUEST_BYTES
        )

    @property
    def address(self) -> tuple[str, int]:
        """Address that the server listens on."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request and close the connection."""
        self._connections += 1
        peer = writer.get_extra_info("peername")
        try:
            if self._connections > MAX_CONNECTIONS:
                self._refuse(STEP, peer, "too many connections")
                return
            async with asyncio.timeout(REQUEST_SECONDS):
                request = await reader.readuntil(_HEADERS_END)
                writer.write(self._answer(request, peer))
                await writer.drain()
        except TimeoutError:
            self._refuse(STEP, peer, "timeout")
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            self._refuse(STEP, peer, "malformed")
        except ConnectionError:
            self._refuse(STEP, peer, "connection closed")
        finally:
            self._connections -= 1
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    def _answer(self, request: bytes, peer: object) -> bytes:
        request_line = request.partition(b"\r\n")[0].split(b" ")
        if len(request_line) != 3 or not request_line[2].startswith(b"HTTP/1."):
            self._refuse(STEP, peer, "malformed")
            return _response("400 Bad Request", "text/plain", b"")
        if request_line[0] != b"GET":
            return _response("405 Method Not Allowed", "text/plain", b"")
        if request_line[1] != b"/metrics":
            return _response("404 Not Found", "text/plain", b"")
        # Imported at the first scrape to keep it out of the start-up time.
        lean_imports.import_deferred()
        import aioprometheus

        content, headers = aioprometheus.render(self._registry(), [])
        return _response("200 OK", headers["Content-Type"], content)

    def _registry(self) -> aioprometheus.Registry:
        import aioprometheus

        registry = aioprometheus.Registry()
        for name, samples in self._metrics.take_samples().items():
            self._add_samples(name, samples)
        for histogram in self._histograms.values():
            registry.register(histogram)
        for name, description, labels, value in self._metrics.collect():
            full_name = _PREFIX + name
            if full_name not in registry.collectors:
                metric_type: type[aioprometheus.Gauge | aioprometheus.Counter]
                metric_type = aioprometheus.Gauge
                if name.endswith(_COUNTER_SUFFIX):
                    metric_type = aioprometheus.Counter
                metric_type(
                    full_name, description or name, self._labels, registry=registry
                )
            registry.collectors[full_name].set_value(labels, value)
        return registry

    def _add_samples(self, name: str, samples: list[float]) -> None:
        import aioprometheus

        if name not in self._histograms:
            self._histograms[name] = aioprometheus.Histogram(
                _PREFIX + name,
                name.replace("_", " "),
                self._labels,
                buckets=list(BUCKETS_SECONDS),
                registry=aioprometheus.Registry(),
            )
        for seconds in samples:
            self._histograms[name].observe({}, seconds)


def _response(status: str, content_type: str, content: bytes) -> bytes:
    head = (
        f"HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\n"
        f"Content-Length: {len(content)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + content
