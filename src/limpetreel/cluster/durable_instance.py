"""Control instance restored from its files."""

from __future__ import annotations

import msgspec

from limpetreel.cluster import cluster_core
from limpetreel.storage import log_store


class DurableInstance(msgspec.Struct, frozen=True):
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
