"""CoAP message types."""

from __future__ import annotations

import enum


class MessageType(enum.IntEnum):
    """Type field of a CoAP header (RFC 7252, section 3)."""

    CON = 0
    NON = 1
    ACK = 2
    RST = 3
