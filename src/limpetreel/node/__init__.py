"""Common parts of entries and agents."""

from __future__ import annotations
