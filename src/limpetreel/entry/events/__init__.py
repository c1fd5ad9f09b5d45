"""Events of the entry core, one type a file."""

from __future__ import annotations
