"""The control role."""

from __future__ import annotations
