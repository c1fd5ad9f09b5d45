"""Raft roles."""

from __future__ import annotations

import enum


class Role(enum.StrEnum):
    """Role of an instance in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
