"""Roles of an instance in a term."""

from __future__ import annotations

import enum


class Role(enum.StrEnum):
    """What an instance does in the present term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
