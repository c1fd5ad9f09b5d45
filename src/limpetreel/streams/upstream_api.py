"""Base class of the endpoint that an upstream calls at its agent."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import stream_agent_shell


class UpstreamApi(abc.ABC):
    """Receives announcements and sign-offs of the upstream."""

    @abc.abstractmethod
    async def start(self, shell: stream_agent_shell.StreamAgentShell) -> None:
        """Start serving."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stop serving after the calls in progress are answered."""
