"""Actions that the consensus core returns."""

from __future__ import annotations
