"""Layer-4 load balancer whose decisions can be replayed."""

from __future__ import annotations

import time

__version__ = "0.1.0"

LOADED_AT = time.monotonic()
"""Time at which the program began, as early as it can read a clock."""
LOADED_UNIX_MS = time.time() * 1000
"""The same time in milliseconds since 1970 on the clock of the machine."""
