"""The right of a node to carry packets."""

from __future__ import annotations
