"""Request to end a node's membership."""

from __future__ import annotations

import msgspec


class LeaveRequested(msgspec.Struct, frozen=True, tag="leave_requested"):
    """The process is about to exit; the core notifies the control instances at once."""
