"""HTTP server of the metrics; imported only if its address is set."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import aioprometheus
from aioprometheus import service

if TYPE_CHECKING:
    from aiohttp import web

    from limpetreel.telemetry import metrics

Refuse = Callable[[str, object, str], None]

_LIBRARY_LOGGER = "aiohttp.server"
_PREFIX = "limpetreel_"
_COUNTER_SUFFIX = "_total"


class MetricsServer(service.Service):
    """Serves ``/metrics`` in the formats of Prometheus.

    Parameters
    ----------
    source : Metrics
        The metrics.
    node, role : str
        Labels of every metric.
    refuse : callable
        Called with step, peer and reason for a request that is not HTTP.
    """

    def __init__(
        self, source: metrics.Metrics, node: str, role: str, refuse: Refuse
    ) -> None:
        super().__init__(aioprometheus.Registry())
        # The library logs a traceback for every malformed request.
        logger = logging.getLogger(_LIBRARY_LOGGER)
        logger.handlers = [_RefusalHandler(refuse)]
        logger.propagate = False
        self._source = source
        self._labels = {"node": node, "role": role}

    async def handle_metrics(self, request: web.Request) -> web.Response:
        """Read all metrics and answer."""
        self.registry = self._registry()
        return await super().handle_metrics(request)

    def _registry(self) -> aioprometheus.Registry:
        registry = aioprometheus.Registry()
        for name, text, labels, value in self._source.collect():
            if name not in registry.collectors:
                kind: type[aioprometheus.Gauge | aioprometheus.Counter]
                kind = aioprometheus.Gauge
                if name.endswith(_COUNTER_SUFFIX):
                    kind = aioprometheus.Counter
                registry.collectors[name] = kind(
                    _PREFIX + name, text or name, self._labels, registry=_Unregistered()
                )
            registry.collectors[name].set_value(labels, value)
        return registry


class _Unregistered(aioprometheus.Registry):
    """Registry that keeps nothing, since collectors are kept by short name."""

    def register(self, collector: object) -> None:
        """Ignore the collector."""


class _RefusalHandler(logging.Handler):
    """Handler that reports error lines of the library as refused requests."""

    def __init__(self, refuse: Refuse) -> None:
        super().__init__(logging.WARNING)
        self._refuse = refuse

    def emit(self, record: logging.LogRecord) -> None:
        """Report a line."""
        self._refuse("metrics.request", "", "malformed")
