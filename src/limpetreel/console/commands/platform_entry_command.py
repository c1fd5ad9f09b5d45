"""Command ``platform entry``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel import platform_factory
from limpetreel.console import platform_role_command

if TYPE_CHECKING:
    from limpetreel.platform import process_settings
    from limpetreel.streams import stream_entry_shell


class PlatformEntryCommand(platform_role_command.PlatformRoleCommand):
    """Run an entry on the users' platform."""

    name = "platform entry"
    help = "run an entry on the users' platform until SIGTERM"

    def build(self, path: process_settings.Path) -> stream_entry_shell.StreamEntryShell:
        """Return the shell."""
        return platform_factory.build_entry(path)
