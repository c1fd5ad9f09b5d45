"""Reading of settings from flags, environment variables and key files."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import TYPE_CHECKING, Any, TypeVar

from limpetreel import exceptions
from limpetreel.settings import base_settings, setting

if TYPE_CHECKING:
    import argparse
    from collections.abc import Mapping

ENVIRONMENT_PREFIX = "LIMPETREEL_"
MAX_KEY_FILE_BYTES = 4096
_SECRET = "(secret)"
_FILE_SUFFIX = "_file"

SettingsT = TypeVar("SettingsT", bound=base_settings.BaseSettings)


def add_arguments(parser: argparse.ArgumentParser, kind: type) -> None:
    """Add a flag for each setting of a settings class.

    Parameters
    ----------
    parser : argparse.ArgumentParser
        Parser of a command.
    kind : type
        Data class whose fields are settings.
    """
    group = parser.add_argument_group("settings (flag before variable)")
    for field in dataclasses.fields(kind):
        described = _described(field)
        _add(group, field.name, described.help, described.allowed, _default(field))
        if described.secret:
            name = field.name + _FILE_SUFFIX
            _add(group, name, f"file that holds --{_words(field.name)}", "a file", "")


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
        If a value is missing or not allowed, or two values contradict each other.
    """
    values: dict[str, Any] = {}
    for field in dataclasses.fields(kind):
        text = _text(field, args, environment)
        values[field.name] = _value(field, text)
    found = kind(**values)
    found.check()
    return found


def secrets(found: base_settings.BaseSettings) -> tuple[str, ...]:
    """Return the values that must not appear in logs.

    Parameters
    ----------
    found : BaseSettings
        Settings of a process.
    """
    return tuple(
        getattr(found, field.name).decode()
        for field in dataclasses.fields(found)
        if _described(field).secret
    )


def without_secrets(found: SettingsT) -> SettingsT:
    """Return settings whose secret values are empty.

    Parameters
    ----------
    found : BaseSettings
        Settings of a process.
    """
    empty: dict[str, Any] = {
        field.name: b""
        for field in dataclasses.fields(found)
        if _described(field).secret
    }
    return dataclasses.replace(found, **empty)


def _text(
    field: dataclasses.Field[Any],
    args: argparse.Namespace,
    environment: Mapping[str, str],
) -> str | None:
    """Return the text of a value: flag, then variable; None if there is neither."""
    flags = {k: v for k, v in vars(args).items() if v is not None}
    variables = {
        name: environment[_variable(name)]
        for name in (field.name, field.name + _FILE_SUFFIX)
        if _variable(name) in environment
    }
    for source in (flags, variables):
        direct = source.get(field.name)
        file = None
        if _described(field).secret:
            file = source.get(field.name + _FILE_SUFFIX)
        if direct is not None and file is not None:
            flag = _flag(field.name + _FILE_SUFFIX)
            allowed = f"either it or {_flag(field.name)}"
            raise exceptions.SettingError(flag, file, allowed)
        if file is not None:
            return _read_key(field.name + _FILE_SUFFIX, file)
        if direct is not None:
            return direct
    return None


def _read_key(name: str, file: str) -> str:
    """Return the content of a key file without the line end."""
    try:
        with pathlib.Path(file).open("rb") as stream:
            data = stream.read(MAX_KEY_FILE_BYTES + 1)
        if len(data) > MAX_KEY_FILE_BYTES:
            raise ValueError
        return data.decode().rstrip("\r\n")
    except (OSError, ValueError):
        allowed = f"a readable text file of up to {MAX_KEY_FILE_BYTES} bytes"
        raise exceptions.SettingError(_flag(name), file, allowed) from None


def _value(field: dataclasses.Field[Any], text: str | None) -> Any:
    described = _described(field)
    if text is None:
        if field.default is setting.REQUIRED:
            allowed = f"{described.allowed}; it is required"
            raise exceptions.SettingError(_flag(field.name), "", allowed)
        return field.default
    try:
        return described.parse(text)
    except ValueError:
        shown = _SECRET if described.secret else text
        flag = _flag(field.name)
        raise exceptions.SettingError(flag, shown, described.allowed) from None


def _described(field: dataclasses.Field[Any]) -> setting.Setting:
    return field.metadata[setting.METADATA_KEY]


def _add(
    group: argparse._ArgumentGroup, name: str, text: str, allowed: str, default: str
) -> None:
    shown = f"{text} ({allowed}{default}; ${_variable(name)})"
    # argparse formats help texts with the % operator.
    shown = shown.replace("%", "%%")
    group.add_argument(_flag(name), metavar="VALUE", dest=name, help=shown)


def _words(field_name: str) -> str:
    return field_name.replace("_", "-")


def _flag(field_name: str) -> str:
    return "--" + _words(field_name)


def _variable(field_name: str) -> str:
    return ENVIRONMENT_PREFIX + field_name.upper()


def _default(field: dataclasses.Field[Any]) -> str:
    value = field.default
    if value is setting.REQUIRED:
        return "; required"
    if value in ("", None, ()):
        return "; default none"
    return f"; default {value}"
