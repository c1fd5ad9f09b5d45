"""Stand-ins for the surrounding systems and a load tool."""

from __future__ import annotations
