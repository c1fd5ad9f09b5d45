"""Base class of the calls of an upstream to its agent."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import stream_agent_shell


class UpstreamApi(abc.ABC):
    """Takes announcements and sign-offs."""

    @abc.abstractmethod
    async def start(self, shell: stream_agent_shell.StreamAgentShell) -> None:
        """Begin to serve."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop to serve, and finish the calls that are being answered."""
