"""Settings of logs, metrics and the decision log."""

from __future__ import annotations

import dataclasses

from limpetreel import exceptions
from limpetreel.settings import base_settings, parsers, setting

LEVELS = ("debug", "info", "warning", "error")


@dataclasses.dataclass(frozen=True)
class TelemetrySettings(base_settings.BaseSettings):
    """Log, metrics and decision log of a process of any role."""

    log_level: str = setting.setting(
        parsers.choice(*LEVELS),
        "one of " + ", ".join(LEVELS),
        "lowest level to log",
        "info",
    )
    log_file: str = setting.setting(
        parsers.file_name,
        parsers.FILE_NAME_ALLOWED,
        "log to this file instead of standard error",
        "",
    )
    metrics: tuple[str, int] | None = setting.setting(
        parsers.address, parsers.ADDRESS_ALLOWED, "address of /metrics, over HTTP", None
    )
    decision_log: str = setting.setting(
        parsers.file_name,
        parsers.FILE_NAME_ALLOWED,
        "record events and decisions in this file, for replay",
        "",
    )
    file_mb: int = setting.setting(
        parsers.number(1, 10_000),
        "1 to 10000",
        "size in MB at which log, span file and decision log are rotated; one "
        "earlier file of each is kept",
        64,
    )

    def check_files(self, has_data: bool) -> None:
        """Check that the files have a data folder and different names.

        Parameters
        ----------
        has_data : bool
            Whether a data folder is set.
        """
        file_fields = ("log_file", "trace_file", "decision_log")
        taken: dict[str, str] = {}
        for field in file_fields:
            # Control has no trace_file.
            value = getattr(self, field, "")
            flag = "--" + field.replace("_", "-")
            if value and not has_data:
                raise exceptions.SettingError(
                    flag, value, "it only together with --data"
                )
            if value in taken:
                allowed = f"a name that differs from {taken[value]}"
                raise exceptions.SettingError(flag, value, allowed)
            if value:
                taken[value] = flag
