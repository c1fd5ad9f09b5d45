"""Ports of the addresses of classes."""

from __future__ import annotations

import collections


class PortPool:
    """Ports of a range, allocated so that reuse happens as late as possible.

    Parameters
    ----------
    first, last : int
        The range; both ports belong to it.
    next_unused : int, optional
        Lowest port that was never allocated.
    freed : sequence of int
        Ports that were allocated and released, the oldest release first.
    """

    def __init__(
        self,
        first: int,
        last: int,
        next_unused: int | None = None,
        freed: tuple[int, ...] = (),
    ) -> None:
        self.first = first
        self.last = last
        self.next_unused = first if next_unused is None else next_unused
        self._freed = collections.deque(freed)

    @property
    def freed(self) -> tuple[int, ...]:
        """Released ports, the oldest release first."""
        return tuple(self._freed)

    def allocate(self) -> int | None:
        """Allocate a port for a new class; return None if all are in use.

        A port that was never used comes first, because entries with an old table
        may still listen on the port of a deleted class.
        """
        if self.next_unused <= self.last:
            self.next_unused += 1
            return self.next_unused - 1
        return self._freed.popleft() if self._freed else None

    def release(self, port: int) -> None:
        """Release the port of a deleted class."""
        self._freed.append(port)
