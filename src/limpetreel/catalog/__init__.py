"""State machine that the replicated log drives."""

from __future__ import annotations
