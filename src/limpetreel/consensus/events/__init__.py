"""Events that the consensus core takes."""

from __future__ import annotations
