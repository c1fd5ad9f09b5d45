"""Settings of an entry."""

from __future__ import annotations

import dataclasses

from limpetreel.settings import node_settings, parsers, setting


@dataclasses.dataclass(frozen=True)
class EntrySettings(node_settings.NodeSettings):
    """Settings of an entry."""

    service_ip: str = setting.setting(
        parsers.ip_number,
        "an IPv4 number",
        "IP number on which the fabric delivers packets for the classes' ports",
        "127.0.0.1",
    )
    trace_every: int = setting.setting(
        parsers.number(0, 1_000_000),
        "0 to 1000000",
        "trace one in this many packets, 0 for none",
        1000,
    )
