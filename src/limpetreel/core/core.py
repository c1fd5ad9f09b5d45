"""Base class of all decision logic."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import msgspec


class Core(abc.ABC):
    """Decision logic without I/O.

    A core never reads a clock, a socket, a file or a random source. Equal
    settings, seeds and events therefore give equal actions, which is what the
    decision log, the fuzzing tests and the measurements rely on.
    """

    @abc.abstractmethod
    def handle(self, now: float, event: msgspec.Struct) -> list[msgspec.Struct]:
        """Handle one event and return the resulting actions, in order.

        Parameters
        ----------
        now : float
            Monotonic time in seconds. It never decreases between calls.
        event : msgspec.Struct
            One of the event types of the concrete core.

        Returns
        -------
        list of msgspec.Struct
            Actions for the shell, to be carried out in this order.
        """
