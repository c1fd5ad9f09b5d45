"""The entry role."""

from __future__ import annotations
