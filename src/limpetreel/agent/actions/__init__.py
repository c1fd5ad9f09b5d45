"""Actions of the agent core, one type a file."""

from __future__ import annotations
