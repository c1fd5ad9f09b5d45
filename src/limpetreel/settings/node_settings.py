"""Settings that entries and agents share."""

from __future__ import annotations

import dataclasses
import pathlib  # noqa: TC003 - msgspec reads the annotations at run time

from limpetreel import exceptions
from limpetreel.settings import parsers, setting, telemetry_settings


@dataclasses.dataclass(frozen=True)
class NodeSettings(telemetry_settings.TelemetrySettings):
    """Identity of a process and the addresses of control."""

    name: str = setting.setting(
        parsers.name, parsers.NAME_ALLOWED, "unique name of this process"
    )
    zone: str = setting.setting(
        parsers.name, parsers.NAME_ALLOWED, "zone (data centre) of this process"
    )
    region: str = setting.setting(
        parsers.name, parsers.NAME_ALLOWED, "region of the zone", "local"
    )
    listen: tuple[str, int] = setting.setting(
        parsers.reachable_address,
        parsers.REACHABLE_ALLOWED,
        "address for frames of other processes of the system, over UDP",
    )
    control: tuple[tuple[str, int], ...] = setting.setting(
        parsers.addresses,
        parsers.ADDRESSES_ALLOWED,
        "addresses on which the control instances serve nodes",
    )
    data: pathlib.Path | None = setting.setting(
        parsers.path, parsers.PATH_ALLOWED, "folder for all files", None
    )
    cluster_key: bytes = setting.setting(
        parsers.key, parsers.KEY_ALLOWED, "key shared by all processes", secret=True
    )

    trace_file: str = setting.setting(
        parsers.file_name,
        parsers.FILE_NAME_ALLOWED,
        "write the spans of sampled packets to this file",
        "",
    )

    def check(self) -> None:
        """Check values that depend on each other."""
        self.check_files(self.data is not None)
        if self.listen in self.control:
            raise exceptions.SettingError(
                "--listen", _text(self.listen), "an address that is not in --control"
            )


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
