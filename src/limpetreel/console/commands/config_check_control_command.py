"""Command ``config check control``."""

from __future__ import annotations

from limpetreel.console import config_check_command
from limpetreel.settings import control_settings


class ConfigCheckControlCommand(config_check_command.ConfigCheckCommand):
    """Check the settings of a control instance."""

    name = "config check control"
    help = "check the settings of a control instance"
    settings_class = control_settings.ControlSettings
