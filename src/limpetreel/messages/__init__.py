"""Control messages between the processes of the system, one type a file."""

from __future__ import annotations
