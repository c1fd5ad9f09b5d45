"""Settings of the operator commands."""

from __future__ import annotations

import dataclasses

from limpetreel.settings import base_settings, parsers, setting


@dataclasses.dataclass(frozen=True)
class OperatorSettings(base_settings.BaseSettings):
    """Addresses and key for requests to control."""

    operator: tuple[tuple[str, int], ...] = setting.setting(
        parsers.addresses,
        parsers.ADDRESSES_ALLOWED,
        "operator addresses of the control instances",
    )
    operator_key: bytes = setting.setting(
        parsers.key, parsers.KEY_ALLOWED, "key that authorises commands", secret=True
    )
