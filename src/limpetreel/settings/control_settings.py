"""Settings of a control instance."""

from __future__ import annotations

import dataclasses
import pathlib  # noqa: TC003 - msgspec reads the annotations at run time

from limpetreel import exceptions
from limpetreel.settings import (
    parsers,
    peer,
    port_range,
    setting,
    telemetry_settings,
)

_WILDCARD_HOST = "0.0.0.0"
_DEFAULT_PORTS = port_range.PortRange(20000, 29999)


@dataclasses.dataclass(frozen=True)
class ControlSettings(telemetry_settings.TelemetrySettings):
    """Settings of a control instance."""

    name: str = setting.setting(
        parsers.name, parsers.NAME_ALLOWED, "unique name of this instance"
    )
    zone: str = setting.setting(
        parsers.name, parsers.NAME_ALLOWED, "zone (data centre) of this instance"
    )
    region: str = setting.setting(
        parsers.name, parsers.NAME_ALLOWED, "region of the zone", "local"
    )
    listen: tuple[str, int] = setting.setting(
        parsers.reachable_address,
        parsers.REACHABLE_ALLOWED,
        "address for nodes, over UDP",
    )
    operator_listen: tuple[str, int] = setting.setting(
        parsers.address, parsers.ADDRESS_ALLOWED, "address for operators, over TCP"
    )
    peer_listen: tuple[str, int] = setting.setting(
        parsers.address,
        parsers.ADDRESS_ALLOWED,
        "address for other control instances, over TCP",
    )
    peers: tuple[peer.Peer, ...] = setting.setting(
        parsers.peers,
        parsers.PEERS_ALLOWED,
        "control instances of a new cluster, this one included",
        (),
    )
    data: pathlib.Path = setting.setting(
        parsers.path, parsers.PATH_ALLOWED, "folder for all files of this instance"
    )
    class_ports: port_range.PortRange = setting.setting(
        parsers.ports,
        parsers.PORTS_ALLOWED,
        "UDP ports for the classes' addresses",
        _DEFAULT_PORTS,
    )
    cluster_key: bytes = setting.setting(
        parsers.key, parsers.KEY_ALLOWED, "key shared by all processes", secret=True
    )
    operator_key: bytes = setting.setting(
        parsers.key, parsers.KEY_ALLOWED, "key that authorises commands", secret=True
    )

    def check(self) -> None:
        """Check values that depend on each other."""
        self.check_files(has_data=True)
        self._check_tcp_addresses()
        if self.operator_key == self.cluster_key:
            # Every node holds the cluster key; it must not authorise commands.
            raise exceptions.SettingError(
                "--operator-key", "(secret)", "a key that differs from --cluster-key"
            )
        if self.peers:
            self._check_local_peer()

    def _check_tcp_addresses(self) -> None:
        taken: dict[tuple[str, int], str] = {}
        for flag, value in (
            ("--operator-listen", self.operator_listen),
            ("--peer-listen", self.peer_listen),
            ("--metrics", self.metrics),
        ):
            if value is not None and value[1] and value in taken:
                raise exceptions.SettingError(
                    flag,
                    f"{value[0]}:{value[1]}",
                    f"an address that differs from {taken[value]}",
                )
            if value is not None:
                taken[value] = flag

    def _check_local_peer(self) -> None:
        """Check that --peers lists this instance with the address of --peer-listen."""
        shown = ",".join(str(p) for p in self.peers)
        local = next((p for p in self.peers if p.name == self.name), None)
        if local is None:
            raise exceptions.SettingError(
                "--peers", shown, f"a list that includes this instance, {self.name}"
            )
        host, port = self.peer_listen
        if local.address[1] != port or host not in (_WILDCARD_HOST, local.address[0]):
            raise exceptions.SettingError(
                "--peer-listen", f"{host}:{port}", f"the address in --peers, {local}"
            )
