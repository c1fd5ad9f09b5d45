"""Kinds of frames."""

from __future__ import annotations

import enum


class Kind(enum.IntEnum):
    """What the body of a frame holds."""

    FORWARD = 1
    RELAY = 2
    RETURN = 3
    MESSAGE = 16
    CONSENSUS = 17
    REPORT = 18
    FOUNDING = 19
