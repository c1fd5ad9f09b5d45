"""Times and sizes of the replicated log."""

from __future__ import annotations

HEARTBEAT_SECONDS = 0.1
ELECTION_MIN_SECONDS = 0.3
ELECTION_MAX_SECONDS = 0.6
FIRST_ELECTION_MIN_SECONDS = 0.05
FIRST_ELECTION_MAX_SECONDS = 0.25
"""Wait after a start. A leader that is there sends within a heartbeat, and pre-votes
keep an impatient instance from deposing it."""
LEASE_SECONDS = 2.0
JOIN_RETRY_SECONDS = 0.5
REJOIN_SECONDS = 2.0
"""Time without a leader after which a voter asks whether it has been replaced; some
elections."""

BATCH_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
PIPELINE_ENTRIES = 4096
"""Unacknowledged entries that a leader sends ahead to one peer."""

MAX_UNCOMMITTED = 10_000
"""Entries that may wait for a quorum; bounds memory while there is none."""

TRAILING_ENTRIES = 1000
"""Entries kept in memory before a snapshot, so that a peer that is a little behind
needs entries and not the whole snapshot."""
