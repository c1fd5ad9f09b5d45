"""Arrival of a simulated request."""

from __future__ import annotations

import msgspec


class ArrivalEvent(msgspec.Struct, frozen=True):
    """Request that a caller sends.

    Attributes
    ----------
    at : float
        Arrival time in seconds.
    request_id : int
        Number of the request.
    class_id : int
        Class of the request.
    connection : int
        Connection of the caller.
    is_new_flow : bool
        Whether the connection was reopened before the request.
    units : float
        Work of the request in mean service times; 1 on average.
    """

    at: float
    request_id: int
    class_id: int
    connection: int
    is_new_flow: bool
    units: float
