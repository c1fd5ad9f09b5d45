"""An upstream of a standalone site."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class UpstreamAddress:
    """Class and address of one upstream.

    Attributes
    ----------
    class_name : str
        Class that the upstream serves.
    address : tuple of (str, int)
        Host and port.
    """

    class_name: str
    address: tuple[str, int]
