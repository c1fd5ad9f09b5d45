"""Stop receiving on the address of a class."""

from __future__ import annotations

import msgspec


class CloseClass(msgspec.Struct, frozen=True, tag="close_class"):
    """Close the socket of a class that has been removed.

    Attributes
    ----------
    class_id : int
        Id of the class.
    """

    class_id: int
