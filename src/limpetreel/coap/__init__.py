"""The caller protocol at the edge of the system: CoAP (RFC 7252)."""

from __future__ import annotations
