"""Kinds of frames."""

from __future__ import annotations

import enum


class Kind(enum.IntEnum):
    """Type of the content of a frame body."""

    FORWARD = 1
    RELAY = 2
    RETURN = 3
    MESSAGE = 16
    CONSENSUS = 17
    REPORT = 18
    FOUNDING = 19
