"""Messages between nodes and control instances."""

from __future__ import annotations
