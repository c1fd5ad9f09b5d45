"""Base class of the settings of all roles."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class BaseSettings:
    """Settings whose values are checked individually and then against each other."""

    def check(self) -> None:
        """Check values that depend on each other.

        Raises
        ------
        SettingError
            If two values contradict each other.
        """
