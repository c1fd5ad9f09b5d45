"""Settings of a site in one process."""

from __future__ import annotations

import dataclasses
import pathlib

from limpetreel.settings import (
    parsers,
    port_range,
    setting,
    telemetry_settings,
    upstream_address,
)

_DEFAULT_PORTS = port_range.PortRange(20000, 29999)
AGENT_PORTS = 4
"""Ports reserved for each agent, after the base port."""
MAX_UPSTREAMS = 64


@dataclasses.dataclass(frozen=True)
class StandaloneSettings(telemetry_settings.TelemetrySettings):
    """Settings of a small site; the defaults suit one machine."""

    upstreams: tuple[upstream_address.UpstreamAddress, ...] = setting.setting(
        parsers.upstreams, parsers.UPSTREAMS_ALLOWED, "upstreams of the site"
    )
    ip: str = setting.setting(
        parsers.ip_number, "an IPv4 number", "IP number of this machine", "127.0.0.1"
    )
    service_ip: str = setting.setting(
        parsers.ip_number,
        "an IPv4 number",
        "IP number on which callers reach the classes' ports",
        "127.0.0.1",
    )
    base_port: int = setting.setting(
        parsers.number(1024, 60000),
        "1024 to 60000",
        "first of the ports for internal traffic and operators",
        7000,
    )
    class_ports: port_range.PortRange = setting.setting(
        parsers.ports,
        parsers.PORTS_ALLOWED,
        "UDP ports for the classes' addresses",
        _DEFAULT_PORTS,
    )
    data: pathlib.Path = setting.setting(
        parsers.path,
        parsers.PATH_ALLOWED,
        "folder for all files",
        pathlib.Path("limpetreel-data"),
    )
    drain_seconds: float = setting.setting(
        parsers.seconds(0, 86400),
        "0 to 86400 seconds",
        "time limit for flows to end in a planned stop",
        30.0,
    )

    def check(self) -> None:
        """Check that the files have different names."""
        self.check_files(has_data=True)
