"""Settings file of a process."""

from __future__ import annotations

import os
import tomllib
from typing import Any

import msgspec

from limpetreel import exceptions

ENVIRONMENT_NAME = "LIMPETREEL_CONFIG"
DEFAULT_PATH = "/etc/limpetreel/settings.toml"

Address = tuple[str, int]
MAX_NUMBER = 2**53
"""Largest number whose floating-point value is exact."""
MAX_PORT_DIGITS = 5

Path = str | os.PathLike[str]

_FILE_NAMES = {
    "packets": "UdpListen",
    "outbound": "outbound",
    "upstream": "app",
    "ready": "Ready",
    "control": "Control",
}
"""Names of the addresses in the file."""


class ProcessSettings(msgspec.Struct, frozen=True):
    """Settings that the platform gives a process.

    Attributes
    ----------
    node : str
        Name of the machine.
    role : str
        Name of the role in the deploy file.
    host : str
        IP number of the machine.
    data_centre : str
        Data centre of the machine; the platform calls it a zone.
    data_centres : frozenset of str
        All data centres.
    internal_ports : tuple of (int, int)
        First and last port for traffic between nodes.
    seeds : tuple of str
        Hosts of some control instances. The file gives the address for operators,
        of which only the host matters here.
    packets : Address or None
        Address to which the routers or other nodes send packets.
    outbound : Address or None
        Address to which the upstream beside an agent sends its packets.
    upstream : Address or None
        Address at which the upstream beside an agent receives packets.
    ready : Address or None
        Address of the readiness endpoint that the routers poll.
    control : Address or None
        Address for calls of operators, or of the upstream beside an agent.
    service : str
        Service of the upstream beside an agent.
    heartbeat_ms : int
        Time between announcements of an upstream.
    is_first_start : bool
        Whether the whole system starts with empty disks.
    data_folder : str
        Folder on the disk, empty for a machine without one.
    lost_machines : int
        Machines with a disk that may be lost at once.
    max_flow_s : float
        Age up to which a flow must be kept.
    grace_s : float
        Time from SIGTERM to SIGKILL.
    link_mbps : float
        Bandwidth of the machine's link, in Mbit/s.
    """

    node: str
    role: str
    host: str
    data_centre: str
    data_centres: frozenset[str]
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]
    packets: Address | None
    outbound: Address | None
    upstream: Address | None
    ready: Address | None
    control: Address | None
    service: str
    heartbeat_ms: int
    is_first_start: bool
    data_folder: str
    lost_machines: int
    max_flow_s: float
    grace_s: float
    link_mbps: float


def read(path: Path) -> ProcessSettings:
    """Return the settings in a file.

    Raises
    ------
    SettingError
        If the file cannot be read, or a value is missing or not allowed.
    """
    try:
        with open(path, encoding="utf-8") as stream:
            fields = tomllib.loads(stream.read())
    except (OSError, ValueError, RecursionError) as exc:
        # A number of some thousand digits is a ValueError, as is a syntax error.
        raise exceptions.SettingError(str(path), str(exc), "a TOML file") from exc
    return decode(fields)


def required(cfg: ProcessSettings, field: str) -> Address:
    """Return an address that the role requires.

    Parameters
    ----------
    cfg : ProcessSettings
        Settings of the process.
    field : str
        Name of the attribute.

    Raises
    ------
    SettingError
        If the file does not give the address.
    """
    value: Address | None = getattr(cfg, field)
    if value is None:
        raise exceptions.SettingError(_FILE_NAMES[field], "", "host:port")
    return value


def decode(fields: dict[str, Any]) -> ProcessSettings:
    """Return the settings in the fields of a file.

    Raises
    ------
    SettingError
        If a value is missing or not allowed.
    """
    listen = _read_field(fields, "ListenAddrs", dict, {})
    bounds = _read_field(fields, "Bounds", dict, {})
    tolerance = _read_field(fields, "FaultTolerance", dict, {})
    zones = _read_field(fields, "Zones", dict, {})
    limits = _read_field(fields, "Limits", dict, {})
    zone = _read_field(fields, "Zone", str)
    return ProcessSettings(
        node=_read_field(fields, "NodeName", str),
        role=_read_field(fields, "Role", str, ""),
        host=_read_field(fields, "Ip", str),
        data_centre=zone,
        data_centres=frozenset(zones) | {zone},
        internal_ports=_ports(fields),
        seeds=tuple(_seed(s) for s in _read_field(fields, "SeedNodes", list, [])),
        packets=_address(listen, "UdpListen"),
        outbound=_address(listen, "outbound"),
        upstream=_address(fields, "app"),
        ready=_address(listen, "Ready"),
        control=_address(listen, "Control"),
        service=_read_field(fields, "Backend", str, ""),
        heartbeat_ms=_positive(fields, "HeartbeatMs", 1200),
        is_first_start=_read_field(fields, "Bootstrap", bool, False),
        data_folder=_read_field(fields, "DataDir", str, ""),
        lost_machines=_read_field(tolerance, "Machines", int, 1),
        max_flow_s=float(_positive(bounds, "MaxFlowS", 60)),
        grace_s=float(_positive(bounds, "GraceS", 6)),
        link_mbps=float(_positive(limits, "LinkMbps", 1000)),
    )


def _read_field(
    fields: dict[str, Any], name: str, kind: type, default: Any = None
) -> Any:
    value = fields.get(name, default)
    if value is None or not isinstance(value, kind):
        raise exceptions.SettingError(name, str(value), f"a value of type {kind}")
    return value


def _positive(fields: dict[str, Any], name: str, default: int) -> Any:
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise exceptions.SettingError(name, str(value), "a number above 0")
    if not 0 < value <= MAX_NUMBER:
        allowed = f"a number above 0, {MAX_NUMBER} at most"
        raise exceptions.SettingError(name, str(value), allowed)
    return value


def _ports(fields: dict[str, Any]) -> tuple[int, int]:
    name, allowed = "InternalPortRange", "two ports, the first below the last"
    value = _read_field(fields, name, list)
    if len(value) != 2 or not all(isinstance(p, int) for p in value):
        raise exceptions.SettingError(name, str(value), allowed)
    first, last = value
    if not 0 < first < last < 65536:
        raise exceptions.SettingError(name, str(value), allowed)
    return first, last


def _seed(value: object) -> str:
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdecimal():
        raise exceptions.SettingError("SeedNodes", str(value), "host:port")
    return host


def _address(fields: dict[str, Any], name: str) -> Address | None:
    value = fields.get(name, "")
    if not value:
        return None
    host, _, port = str(value).rpartition(":")
    if not host or not port.isdecimal() or len(port) > MAX_PORT_DIGITS:
        raise exceptions.SettingError(name, str(value), "host:port")
    if not 0 < int(port) < 65536:
        raise exceptions.SettingError(name, str(value), "a port of 1 to 65535")
    return host, int(port)
