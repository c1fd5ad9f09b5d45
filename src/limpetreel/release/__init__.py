"""Which release of the programs a process runs."""

from __future__ import annotations
