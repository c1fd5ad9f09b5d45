"""Command ``platform agent``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel import platform_factory
from limpetreel.console import platform_role_command

if TYPE_CHECKING:
    from limpetreel.platform import process_settings
    from limpetreel.streams import stream_agent_shell


class PlatformAgentCommand(platform_role_command.PlatformRoleCommand):
    """Run the agent beside an upstream on the users' platform."""

    name = "platform agent"
    help = "run the agent beside an upstream on the users' platform until SIGTERM"

    def build(self, path: process_settings.Path) -> stream_agent_shell.StreamAgentShell:
        """Return the shell."""
        return platform_factory.build_agent(path)
