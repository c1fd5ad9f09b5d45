"""Start to receive on the address of a class."""

from __future__ import annotations

import msgspec


class OpenClass(msgspec.Struct, frozen=True, tag="open_class"):
    """Bind the port of a class.

    Attributes
    ----------
    class_id : int
        The class.
    port : int
        UDP port of its address.
    """

    class_id: int
    port: int
