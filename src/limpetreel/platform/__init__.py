"""Names, formats and calls of the users' platform."""

from __future__ import annotations
