"""Command ``config check agent``."""

from __future__ import annotations

from limpetreel.console import config_check_command
from limpetreel.settings import agent_settings


class ConfigCheckAgentCommand(config_check_command.ConfigCheckCommand):
    """Check the settings of an agent."""

    name = "config check agent"
    help = "check the settings of an agent"
    settings_class = agent_settings.AgentSettings
