"""Short names of message fields on the wire."""

from __future__ import annotations

SHORT_NAMES = {
    "capacity": "q",
    "class_name": "c",
    "count": "k",
    "digest": "d",
    "draining": "x",
    "from_revision": "f",
    "host": "h",
    "incarnation": "i",
    "lease_ms": "m",
    "leaving": "l",
    "name": "n",
    "nonce": "o",
    "part": "a",
    "parts": "b",
    "port": "p",
    "region": "g",
    "revision": "v",
    "role": "r",
    "scope": "s",
    "to_revision": "t",
    "zone": "z",
}
"""Every node sends these messages at least twice per second; full field names would be
more than half of their bytes."""
