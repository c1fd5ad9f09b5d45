"""Selection of the events that a decision log records."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import msgspec


class EventFilter(abc.ABC):
    """Decides for each event whether it is recorded."""

    @abc.abstractmethod
    def is_kept(self, event: msgspec.Struct, actions: list[msgspec.Struct]) -> bool:
        """Return whether an event is recorded.

        Parameters
        ----------
        event : msgspec.Struct
            The event.
        actions : list of msgspec.Struct
            What the core decided.
        """

    @abc.abstractmethod
    def is_counted(self, event: msgspec.Struct, actions: list[msgspec.Struct]) -> bool:
        """Return whether the core counts an event that is not recorded.

        Parameters
        ----------
        event : msgspec.Struct
            The event.
        actions : list of msgspec.Struct
            What the core decided.
        """
