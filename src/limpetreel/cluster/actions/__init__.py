"""Actions of the core of a control instance."""

from __future__ import annotations
