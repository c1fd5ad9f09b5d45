"""Deterministic assignment of buckets to agents."""

from __future__ import annotations
