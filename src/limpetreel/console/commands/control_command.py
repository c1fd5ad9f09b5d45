"""Command ``control``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel import factory
from limpetreel.console import role_command
from limpetreel.settings import control_settings

if TYPE_CHECKING:
    from limpetreel.control import control_shell


class ControlCommand(role_command.RoleCommand):
    """Run a control instance."""

    name = "control"
    help = "run a control instance until SIGTERM"
    settings_class = control_settings.ControlSettings

    def build(
        self, cfg: control_settings.ControlSettings
    ) -> control_shell.ControlShell:
        """Return the shell."""
        return factory.build_control(cfg)
