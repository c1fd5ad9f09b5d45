"""Start receiving on the address of a class."""

from __future__ import annotations

import msgspec


class OpenClass(msgspec.Struct, frozen=True, tag="open_class"):
    """Bind the UDP port of a class.

    Attributes
    ----------
    class_id : int
        Id of the class.
    port : int
        UDP port to bind.
    """

    class_id: int
    port: int
