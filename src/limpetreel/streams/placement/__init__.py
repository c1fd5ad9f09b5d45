"""Choice of an upstream for each new flow at an entry."""

from __future__ import annotations
