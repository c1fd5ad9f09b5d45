"""Duplicate detection, claims and outcomes of requests."""

from __future__ import annotations
