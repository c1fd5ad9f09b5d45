"""Settings of an agent."""

from __future__ import annotations

import dataclasses

from limpetreel import exceptions
from limpetreel.settings import node_settings, parsers, setting


@dataclasses.dataclass(frozen=True)
class AgentSettings(node_settings.NodeSettings):
    """Settings of an agent."""

    class_name: str = setting.setting(
        parsers.name, parsers.NAME_ALLOWED, "class that the upstream serves"
    )
    upstream: tuple[str, int] = setting.setting(
        parsers.reachable_address, parsers.REACHABLE_ALLOWED, "address of the upstream"
    )
    announce: tuple[str, int] = setting.setting(
        parsers.address,
        parsers.ADDRESS_ALLOWED,
        "address on which the agent receives announcements of its upstream",
    )
    drain_seconds: float = setting.setting(
        parsers.seconds(0, 86400),
        "0 to 86400 seconds",
        "time limit for flows to end in a planned stop",
        30.0,
    )

    def check(self) -> None:
        """Check that the three UDP addresses differ."""
        super().check()
        taken = {self.listen: "--listen"}
        for flag, value in (
            ("--announce", self.announce),
            ("--upstream", self.upstream),
        ):
            if value in taken:
                raise exceptions.SettingError(
                    flag,
                    f"{value[0]}:{value[1]}",
                    f"an address that differs from {taken[value]}",
                )
            taken[value] = flag
