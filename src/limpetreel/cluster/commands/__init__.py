"""Commands of the replicated log."""

from __future__ import annotations
