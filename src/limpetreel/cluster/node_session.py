"""Connection of an entry or agent to its control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.cluster import cluster_state
from limpetreel.cluster.messages import update
from limpetreel.consensus import timing

if TYPE_CHECKING:
    from limpetreel.cluster import upstream_directory, upstream_record

REFRESH_SECONDS = 0.4
"""Interval at which updates are sent even if nothing has changed; nodes treat three
missing updates as a lost connection."""

LEASE_MS = int(timing.LEASE_SECONDS * 1000)
UPSTREAMS_SECONDS = 0.1
"""Minimum interval between updates that change only the list of upstreams. Many of them
announce themselves within a second after a common restart."""


class NodeSession:
    """Tracks the state that was sent to one node.

    Parameters
    ----------
    name : str
        Name of the node.
    wants_upstreams : bool
        Whether it needs the list of upstreams.
    """

    def __init__(self, name: str, wants_upstreams: bool) -> None:
        self.name = name
        self._wants_upstreams = wants_upstreams
        self._sent_at = float("-inf")
        self._version: int | None = None
        self._zones_out: frozenset[str] = frozenset()
        self._change: int | None = None
        self._had_lease = False
        self._was_complete: bool | None = None
        self._asked = 0
        self._answered = 0

    def ask(self, number: int) -> None:
        """Record a question, which the next update answers."""
        self._asked = max(self._asked, number)

    def next_update(
        self,
        now: float,
        state: cluster_state.ClusterState,
        directory: upstream_directory.UpstreamDirectory,
        lease_ms: int,
        controls: tuple[str, ...],
        is_complete: bool | None = None,
    ) -> update.Update | None:
        """Return an update if something has changed or a refresh is due."""
        is_newer = state.version is not None and (
            cluster_state.is_newer(state.version, self._version)
        )
        has_changed = is_newer or state.zones_out != self._zones_out
        # A node waits for the first lease after a restart, and entries for the list.
        has_changed = has_changed or (lease_ms > 0 and not self._had_lease)
        if self._wants_upstreams and is_complete is not self._was_complete:
            has_changed = True
        has_changed = has_changed or self._asked > self._answered
        age = now - self._sent_at
        if self._wants_upstreams and directory.change != self._change:
            has_changed = has_changed or age >= UPSTREAMS_SECONDS
        if not has_changed and age < REFRESH_SECONDS:
            return None
        is_full = self._change is None
        records: tuple[upstream_record.UpstreamRecord, ...] = ()
        removed: tuple[str, ...] = ()
        if self._wants_upstreams:
            records, removed = directory.changed_since(self._change)
        configuration = state.configuration if is_newer else None
        self._sent_at = now
        if is_newer:
            self._version = state.version
        self._zones_out = state.zones_out
        self._change = directory.change
        self._had_lease = lease_ms > 0
        self._was_complete = is_complete
        self._answered = self._asked
        return update.Update(
            state.applied,
            lease_ms,
            configuration,
            tuple(sorted(state.zones_out)),
            is_full,
            records,
            removed,
            controls,
            is_complete,
            self._answered,
            LEASE_MS - lease_ms,
        )
