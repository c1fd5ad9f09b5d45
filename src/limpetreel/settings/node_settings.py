"""Settings that entries, agents and control instances share."""

from __future__ import annotations

import dataclasses

from limpetreel.settings import parsers, setting


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """Identity of a process and how it reaches control."""

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
        parsers.address,
        parsers.ADDRESS_ALLOWED,
        "address for frames of other processes of the system",
    )
    control: tuple[tuple[str, int], ...] = setting.setting(
        parsers.addresses,
        parsers.ADDRESSES_ALLOWED,
        "addresses of the control instances for nodes",
    )
    cluster_key: bytes = setting.setting(
        parsers.key, parsers.KEY_ALLOWED, "key shared by all processes", secret=True
    )
