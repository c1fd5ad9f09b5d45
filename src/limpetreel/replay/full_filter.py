"""Filter that records every event."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.replay import event_filter

if TYPE_CHECKING:
    import msgspec


class FullFilter(event_filter.EventFilter):
    """Records every event, for cores whose state depends on all of them."""

    def is_kept(self, event: msgspec.Struct, actions: list[msgspec.Struct]) -> bool:
        """Return True."""
        return True

    def is_counted(self, event: msgspec.Struct, actions: list[msgspec.Struct]) -> bool:
        """Return False, since every event is recorded."""
        return False
