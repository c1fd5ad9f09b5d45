"""Base class of the answers whether an entry is ready."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class ReadyApi(abc.ABC):
    """Tells the fabric whether to send packets."""

    @abc.abstractmethod
    async def start(self, is_ready: Callable[[], bool]) -> None:
        """Begin to serve."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop to serve, and finish the calls that are being answered."""
