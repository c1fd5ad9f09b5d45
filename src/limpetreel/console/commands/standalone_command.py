"""Command ``standalone``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.console import role_command
from limpetreel.settings import standalone_settings
from limpetreel.standalone import standalone_factory

if TYPE_CHECKING:
    from limpetreel.standalone import standalone_shell


class StandaloneCommand(role_command.RoleCommand):
    """Run all roles in one process, for a small site."""

    name = "standalone"
    help = "run a whole small site in one process until SIGTERM"
    settings_class = standalone_settings.StandaloneSettings

    def build(
        self, cfg: standalone_settings.StandaloneSettings
    ) -> standalone_shell.StandaloneShell:
        """Return the shell."""
        return standalone_factory.build_standalone(cfg)
