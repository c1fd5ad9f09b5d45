"""Modes of a relayed packet."""

from __future__ import annotations

import enum


class Mode(enum.IntEnum):
    """Action that a packet requests from its receiver.

    FIND asks the primary to look up or place the flow. DELIVER hands the packet
    to the recorded owner. OFFER asks the receiver to own a new flow.
    """

    FIND = 0
    DELIVER = 1
    OFFER = 2
