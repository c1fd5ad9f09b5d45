"""What entries and agents have in common."""

from __future__ import annotations
