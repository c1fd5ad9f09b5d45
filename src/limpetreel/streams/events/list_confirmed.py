"""News about how recent the list of upstreams is."""

from __future__ import annotations

import msgspec


class ListConfirmed(msgspec.Struct, frozen=True, tag="list_confirmed"):
    """The list of upstreams names all that had flows at some time.

    Attributes
    ----------
    complete_until : float
        That time, monotonic in seconds.
    """

    complete_until: float
