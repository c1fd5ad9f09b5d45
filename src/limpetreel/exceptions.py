"""Exceptions of limpetreel.

Expected failures are values, see `limpetreel.core.failure`. Exceptions are for
programming errors and for the external interfaces.
"""

from __future__ import annotations


class LimpetreelError(Exception):
    """Base class of all exceptions of limpetreel.

    Parameters
    ----------
    step : str
        The step that failed.
    peer : str
        The peer or path at which it failed, empty if there is none.
    detail : str
        What went wrong.
    """

    def __init__(self, step: str, peer: str, detail: str) -> None:
        self.step = step
        self.peer = peer
        self.detail = detail
        where = f" at {peer}" if peer else ""
        super().__init__(f"{step}{where}: {detail}")


class SettingError(LimpetreelError):
    """A setting has a value that is not allowed.

    Parameters
    ----------
    name : str
        Name of the setting.
    value : str
        The refused value.
    allowed : str
        What is allowed.
    """

    def __init__(self, name: str, value: str, allowed: str) -> None:
        self.name = name
        super().__init__(
            "settings.load", "", f"{name}={value!r} is not allowed; use {allowed}"
        )
