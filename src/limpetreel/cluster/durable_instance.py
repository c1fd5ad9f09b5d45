"""Control instance restored from its files."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.cluster import cluster_core
    from limpetreel.storage import log_store


@dataclasses.dataclass(frozen=True)
class DurableInstance:
    """Core of a control instance with its durable storage.

    Attributes
    ----------
    core : ClusterCore
        Decision logic.
    store : LogStore
        Log, snapshot and votes.
    """

    core: cluster_core.ClusterCore
    store: log_store.LogStore
