"""Command ``agent``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel import factory
from limpetreel.console import role_command
from limpetreel.settings import agent_settings

if TYPE_CHECKING:
    from limpetreel.agent import agent_shell


class AgentCommand(role_command.RoleCommand):
    """Run an agent."""

    name = "agent"
    help = "run an agent until SIGTERM"
    settings_class = agent_settings.AgentSettings

    def build(self, cfg: agent_settings.AgentSettings) -> agent_shell.AgentShell:
        """Return the shell."""
        return factory.build_agent(cfg)
