"""One event in a decision log."""

from __future__ import annotations

import msgspec


class RecordedEvent(msgspec.Struct, frozen=True, tag="event", array_like=True):
    """An event, the time at which it was handled and a digest of the actions.

    Attributes
    ----------
    now : float
        Monotonic time in seconds that the core was given.
    kind : int
        Number of the event type, see `event_kind.EventKind`.
    event : bytes
        The event in MessagePack.
    digest : int
        xxh64 of the actions in MessagePack.
    skipped : int
        Packets that the log left out since the previous event.
    """

    now: float
    kind: int
    event: bytes
    digest: int
    skipped: int
