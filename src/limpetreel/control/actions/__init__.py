"""Actions of the control core, one type a file."""

from __future__ import annotations
