"""Events of the cores of entries and agents."""

from __future__ import annotations
