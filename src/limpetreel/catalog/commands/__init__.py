"""Commands that log entries carry, one type a file."""

from __future__ import annotations
