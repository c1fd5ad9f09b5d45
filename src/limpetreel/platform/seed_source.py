"""Seeds in a settings file that may change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel import exceptions
from limpetreel.platform import process_settings

if TYPE_CHECKING:
    from limpetreel.telemetry import telemetry


class SeedSource:
    """Reads the file whenever seeds are needed, since it may change without notice.

    Parameters
    ----------
    path : str or os.PathLike
        The settings file.
    port : int
        Port of control instances for nodes, the same on all machines.
    known : tuple of str
        Hosts of the seeds at the start.
    telemetry : Telemetry
        Logs and metrics.
    """

    def __init__(
        self,
        path: process_settings.Path,
        port: int,
        known: tuple[str, ...],
        telemetry: telemetry.Telemetry,
    ) -> None:
        self._path = path
        self._port = port
        self._hosts = known
        self._telemetry = telemetry

    def addresses(self) -> list[str]:
        """Return the addresses of the seeds."""
        try:
            hosts = process_settings.read(self._path).seeds
        except exceptions.SettingError as exc:
            self._telemetry.refuse("settings.reload", self._path, exc.detail)
            hosts = self._hosts
        if hosts != self._hosts:
            self._hosts = hosts
            self._telemetry.log("info", "settings.reload", seeds=",".join(hosts))
        return [f"{host}:{self._port}" for host in self._hosts]
