"""Flow keys, bucket directories, takeover and handover."""

from __future__ import annotations
