"""Large requests on their way through the link of an entry."""

from __future__ import annotations
