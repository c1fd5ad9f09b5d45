"""Stand-ins of the users' platform: machines, router, operator, callers, upstreams."""

from __future__ import annotations
