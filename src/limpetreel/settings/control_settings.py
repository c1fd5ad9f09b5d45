"""Settings of a control instance."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from limpetreel.settings import parsers, setting

if TYPE_CHECKING:
    import pathlib


@dataclasses.dataclass(frozen=True)
class ControlSettings:
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
        parsers.address, parsers.ADDRESS_ALLOWED, "address for nodes, over UDP"
    )
    operator_listen: tuple[str, int] = setting.setting(
        parsers.address, parsers.ADDRESS_ALLOWED, "address for operators, over TCP"
    )
    peer_listen: tuple[str, int] = setting.setting(
        parsers.address,
        parsers.ADDRESS_ALLOWED,
        "address for other control instances, over TCP",
    )
    peers: str = setting.setting(
        str,
        "comma-separated NAME=IP:PORT of all control instances, this one included",
        "control instances of a new cluster",
        "",
    )
    data: pathlib.Path = setting.setting(
        parsers.path, "a folder", "folder for all files of this instance"
    )
    class_ports: str = setting.setting(
        str, "FIRST-LAST", "UDP ports for the classes' addresses", "20000-29999"
    )
    cluster_key: bytes = setting.setting(
        parsers.key, parsers.KEY_ALLOWED, "key shared by all processes", secret=True
    )
    operator_key: bytes = setting.setting(
        parsers.key, parsers.KEY_ALLOWED, "key that authorises commands", secret=True
    )
