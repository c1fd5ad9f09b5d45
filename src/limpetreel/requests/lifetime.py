"""Maximum lifetime of the datagrams of a request."""

from __future__ import annotations

EXCHANGE_SECONDS = 247.0
"""EXCHANGE_LIFETIME of RFC 7252, after which no copy of a request can arrive."""
