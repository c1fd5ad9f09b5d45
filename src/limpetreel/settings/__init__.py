"""Settings and their checks."""

from __future__ import annotations
