"""States of a member."""

from __future__ import annotations

import enum


class MemberState(enum.StrEnum):
    """State of an entry or agent in the table.

    A draining member keeps its flows and gets no new ones. A lost member has
    not renewed for the lost time and is not used at all.
    """

    ACTIVE = "active"
    DRAINING = "draining"
    LOST = "lost"
