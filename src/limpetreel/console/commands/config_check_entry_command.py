"""Command ``config check entry``."""

from __future__ import annotations

from limpetreel.console import config_check_command
from limpetreel.settings import entry_settings


class ConfigCheckEntryCommand(config_check_command.ConfigCheckCommand):
    """Check the settings of an entry."""

    name = "config check entry"
    help = "check the settings of an entry"
    settings_class = entry_settings.EntrySettings
