"""Command ``platform control``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel import platform_factory
from limpetreel.console import platform_role_command

if TYPE_CHECKING:
    from limpetreel.cluster import cluster_shell
    from limpetreel.platform import process_settings


class PlatformControlCommand(platform_role_command.PlatformRoleCommand):
    """Run a control instance on the users' platform."""

    name = "platform control"
    help = "run a control instance on the users' platform until SIGTERM"

    def build(self, path: process_settings.Path) -> cluster_shell.ClusterShell:
        """Return the shell."""
        return platform_factory.build_control(path)
