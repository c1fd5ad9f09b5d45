"""Role of an agent for a bucket."""

from __future__ import annotations

import enum


class BucketRole(enum.StrEnum):
    """Role of an agent at the highest epoch of a bucket that it knows.

    BACKUP keeps the second copy; a FENCED agent may still hold the copy of an earlier
    epoch.
    """

    NONE = "none"
    TAKING_OVER = "taking over"
    PRIMARY = "primary"
    BACKUP = "deputy"
    FENCED = "fenced"
