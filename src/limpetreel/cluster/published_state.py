"""State that a control instance gives to nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.cluster import cluster_state
from limpetreel.streams.actions import log_line

if TYPE_CHECKING:
    from limpetreel.configuration import document_parser

UNCONFIRMED_SECONDS = 5.0
"""Time after a start without a lease until nodes get the state from the files. It may
lack the last changes, but a site without a quorum would otherwise serve nobody."""


class PublishedState:
    """The replicated state, once it is known to hold what had been acknowledged.

    After a start it is that of the last snapshot, until a leader tells what followed.

    Parameters
    ----------
    state : ClusterState
        The replicated state.
    parser : DocumentParser
        Format of the documents.
    """

    def __init__(
        self, state: cluster_state.ClusterState, parser: document_parser.DocumentParser
    ) -> None:
        self._state = state
        self._empty_state = cluster_state.ClusterState(parser)
        self._started_at: float | None = None
        self._is_confirmed = False
        self._checked_version: int | None = None

    @property
    def current(self) -> cluster_state.ClusterState:
        """Return the state for nodes, which is empty until it is confirmed."""
        return self._state if self._is_confirmed else self._empty_state

    def record_lease(self, now: float, lease_seconds: float) -> None:
        """Record for how long the instance may grant leases."""
        if self._started_at is None:
            self._started_at = now
        is_alone = now - self._started_at >= UNCONFIRMED_SECONDS
        if is_alone or lease_seconds > 0:
            self._is_confirmed = True

    def check_document(self) -> list[log_line.LogLine]:
        """Return log lines for what is not known in a document, once per version."""
        version = self._state.version
        if version is None or version == self._checked_version:
            return []
        self._checked_version = version
        config = self._state.configuration
        if config is None:
            fields: dict[str, str | int | float] = {
                "version": version,
                "detail": self._state.unreadable or "",
            }
            return [log_line.LogLine("error", "configuration.unreadable", fields)]
        return [
            log_line.LogLine(
                "warning",
                "configuration.unknown_kind",
                {
                    "version": version,
                    "route": route.name,
                    "kind": route.unknown_kind,
                    "treated_as": str(route.kind),
                },
            )
            for route in config.routes
            if route.unknown_kind is not None
        ]
