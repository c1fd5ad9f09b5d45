"""Requests and openings at the agent beside an upstream."""

from __future__ import annotations
