"""Reading of settings from flags and environment variables."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any, TypeVar

from limpetreel import exceptions
from limpetreel.settings import setting

if TYPE_CHECKING:
    import argparse
    from collections.abc import Mapping

ENVIRONMENT_PREFIX = "LIMPETREEL_"

SettingsT = TypeVar("SettingsT")


def add_arguments(parser: argparse.ArgumentParser, kind: type) -> None:
    """Add a flag for each setting of a settings class.

    Parameters
    ----------
    parser : argparse.ArgumentParser
        Parser of a command.
    kind : type
        Data class whose fields are settings.
    """
    for field in dataclasses.fields(kind):
        described: setting.Setting = field.metadata[setting.METADATA_KEY]
        default = (
            "" if field.default is setting.REQUIRED else f"; default {_show(field)}"
        )
        parser.add_argument(
            _flag(field.name),
            metavar="VALUE",
            dest=field.name,
            help=f"{described.help} ({described.allowed}{default}; "
            f"${_variable(field.name)})",
        )


def load(
    kind: type[SettingsT], args: argparse.Namespace, environment: Mapping[str, str]
) -> SettingsT:
    """Return checked settings; a flag goes before its variable.

    Parameters
    ----------
    kind : type
        Data class whose fields are settings.
    args : argparse.Namespace
        Parsed flags.
    environment : mapping of str to str
        Environment variables.

    Raises
    ------
    SettingError
        If a value is missing or not allowed.
    """
    values: dict[str, Any] = {}
    for field in dataclasses.fields(kind):  # type: ignore[arg-type]
        text = getattr(args, field.name, None)
        if text is None:
            text = environment.get(_variable(field.name))
        values[field.name] = _value(field, text)
    return kind(**values)


def _value(field: dataclasses.Field[Any], text: str | None) -> Any:
    described: setting.Setting = field.metadata[setting.METADATA_KEY]
    name = _flag(field.name)
    if text is None:
        if field.default is setting.REQUIRED:
            raise exceptions.SettingError(name, "", described.allowed)
        return field.default
    try:
        return described.parse(text)
    except ValueError:
        shown = "(secret)" if described.secret else text
        raise exceptions.SettingError(name, shown, described.allowed) from None


def _flag(field_name: str) -> str:
    return "--" + field_name.replace("_", "-")


def _variable(field_name: str) -> str:
    return ENVIRONMENT_PREFIX + field_name.upper()


def _show(field: dataclasses.Field[Any]) -> str:
    value = field.default
    if isinstance(value, tuple) and len(value) == 2 and isinstance(value[1], int):
        return f"{value[0]}:{value[1]}"
    return str(value) if value not in ("", None) else "none"
