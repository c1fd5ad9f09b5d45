"""A request of the input of a measurement."""

from __future__ import annotations

import msgspec


class ArrivalEvent(msgspec.Struct, frozen=True):
    """Request that a caller sends.

    Attributes
    ----------
    at : float
        Time in seconds.
    request_id : int
        Number of the request.
    class_id : int
        Class of the request.
    connection : int
        Connection of the caller.
    is_new_flow : bool
        Whether the connection was opened anew before the request.
    units : float
        Service times that the request needs; 1 on average.
    """

    at: float
    request_id: int
    class_id: int
    connection: int
    is_new_flow: bool
    units: float
