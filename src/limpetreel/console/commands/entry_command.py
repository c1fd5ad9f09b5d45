"""Command ``entry``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel import factory
from limpetreel.console import role_command
from limpetreel.settings import entry_settings

if TYPE_CHECKING:
    from limpetreel.entry import entry_shell


class EntryCommand(role_command.RoleCommand):
    """Run an entry."""

    name = "entry"
    help = "run an entry until SIGTERM"
    settings_class = entry_settings.EntrySettings

    def build(self, cfg: entry_settings.EntrySettings) -> entry_shell.EntryShell:
        """Return the shell."""
        return factory.build_entry(cfg)
