"""Demonstration of a site, and stand-ins for callers, fabric and upstreams."""

from __future__ import annotations
