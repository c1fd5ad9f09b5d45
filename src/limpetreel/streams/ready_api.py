"""Base class of the readiness endpoint of an entry."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class ReadyApi(abc.ABC):
    """Reports to the fabric whether the entry accepts packets."""

    @abc.abstractmethod
    async def start(self, is_ready: Callable[[], bool]) -> None:
        """Start serving."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop serving after the calls in progress are answered."""
