"""CoAP (RFC 7252), the protocol of the callers."""

from __future__ import annotations
