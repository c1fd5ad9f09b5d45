"""All roles in one process, for a small site."""

from __future__ import annotations
