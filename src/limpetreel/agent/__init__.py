"""The agent role."""

from __future__ import annotations
