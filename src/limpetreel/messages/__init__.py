"""Control messages between the processes of the system, one type per file."""

from __future__ import annotations
