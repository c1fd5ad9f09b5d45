"""How long a datagram of a request can still arrive."""

from __future__ import annotations

EXCHANGE_SECONDS = 247.0
"""EXCHANGE_LIFETIME of RFC 7252: no copy of a request arrives after it."""
