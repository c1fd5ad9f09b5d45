"""Time-outs and size limits of the replicated log."""

from __future__ import annotations

HEARTBEAT_SECONDS = 0.1
ELECTION_MIN_SECONDS = 0.3
ELECTION_MAX_SECONDS = 0.6
MIN_PRE_VOTE_SECONDS = 0.005
"""Minimum interval between pre-votes that another instance's pre-vote prompts."""
RETRY_ELECTION_MIN_SECONDS = 0.1
RETRY_ELECTION_MAX_SECONDS = 0.2
"""Interval between pre-votes of an instance that has not heard a leader since its
start; the others may return a little later."""
LEASE_SECONDS = 2.0
JOIN_RETRY_SECONDS = 0.5
REJOIN_SECONDS = 2.0
"""Time without a leader after which a voter asks to join again, since it may have been
replaced; longer than several elections."""

BATCH_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024
PIPELINE_ENTRIES = 4096
"""Limit of unacknowledged entries in flight to one peer."""

MAX_UNCOMMITTED = 10_000
"""Limit of uncommitted entries; bounds memory while there is no quorum."""

TRAILING_ENTRIES = 1000
"""Entries up to the snapshot index that stay in memory, so that a peer that lags a
little receives entries instead of the whole snapshot."""
