"""Decision logs and their replay."""

from __future__ import annotations
