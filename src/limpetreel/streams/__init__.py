"""Flows with a handshake: placement on upstreams and forwarding of packets."""

from __future__ import annotations
