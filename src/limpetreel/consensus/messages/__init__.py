"""Messages between control instances."""

from __future__ import annotations
