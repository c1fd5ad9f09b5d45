"""Description of one setting."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

METADATA_KEY = "setting"
REQUIRED = object()
"""Default that marks a required setting."""


@dataclasses.dataclass(frozen=True)
class Setting:
    """Parser and description of a setting.

    Attributes
    ----------
    parse : callable
        Turns the text of a flag or variable into the value; raises ValueError
        for a text that is not allowed.
    allowed : str
        Allowed values, for help and error messages.
    help : str
        Help text of the setting.
    secret : bool
        True if the value must not appear in logs or messages.
    """

    parse: Callable[[str], Any]
    allowed: str
    help: str
    secret: bool = False


def setting(
    parse: Callable[[str], Any],
    allowed: str,
    text: str,
    default: Any = REQUIRED,
    secret: bool = False,
) -> Any:
    """Return a data class field that is a setting.

    Parameters
    ----------
    parse, allowed, text, secret
        As in `Setting`; `text` is its help.
    default : object
        Value if neither the flag nor the variable is given.
    """
    spec = Setting(parse, allowed, text, secret)
    return dataclasses.field(default=default, metadata={METADATA_KEY: spec})
