"""Roles of an agent for a bucket."""

from __future__ import annotations

import enum


class BucketRole(enum.StrEnum):
    """What an agent is for a bucket at the highest epoch that it knows.

    FENCED agents may hold the copy of an earlier epoch.
    """

    NONE = "none"
    TAKING_OVER = "taking over"
    PRIMARY = "primary"
    DEPUTY = "deputy"
    FENCED = "fenced"
