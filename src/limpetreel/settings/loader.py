"""Loading of settings from flags, environment variables and key files."""

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


def add_arguments(parser: argparse.ArgumentParser, settings_class: type) -> None:
    """Add a flag for each setting of a settings class.

    Parameters
    ----------
    parser : argparse.ArgumentParser
        Parser of a command.
    settings_class : type
        Data class whose fields are settings.
    """
    group = parser.add_argument_group(
        "settings (a flag takes precedence over its variable)"
    )
    for field in dataclasses.fields(settings_class):
        spec = _setting(field)
        _add_flag(group, field.name, spec.help, spec.allowed, _default_note(field))
        if spec.secret:
            name = field.name + _FILE_SUFFIX
            _add_flag(
                group, name, f"file that holds --{_dashed(field.name)}", "a file", ""
            )


def load(
    settings_class: type[SettingsT],
    args: argparse.Namespace,
    environment: Mapping[str, str],
) -> SettingsT:
    """Return checked settings; a flag takes precedence over its variable.

    Parameters
    ----------
    settings_class : type
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
    for field in dataclasses.fields(settings_class):
        text = _text(field, args, environment)
        values[field.name] = _value(field, text)
    cfg = settings_class(**values)
    cfg.check()
    return cfg


def secrets(cfg: base_settings.BaseSettings) -> tuple[str, ...]:
    """Return the values that must not appear in logs.

    Parameters
    ----------
    cfg : BaseSettings
        Settings of a process.
    """
    return tuple(
        getattr(cfg, field.name).decode()
        for field in dataclasses.fields(cfg)
        if _setting(field).secret
    )


def without_secrets(cfg: SettingsT) -> SettingsT:
    """Return a copy of settings with empty secret values.

    Parameters
    ----------
    cfg : BaseSettings
        Settings of a process.
    """
    empty: dict[str, Any] = {
        field.name: b"" for field in dataclasses.fields(cfg) if _setting(field).secret
    }
    return dataclasses.replace(cfg, **empty)


def _text(
    field: dataclasses.Field[Any],
    args: argparse.Namespace,
    environment: Mapping[str, str],
) -> str | None:
    """Return the text of the flag or else of the variable; None if neither is set."""
    flags = {k: v for k, v in vars(args).items() if v is not None}
    variables = {
        name: environment[_variable(name)]
        for name in (field.name, field.name + _FILE_SUFFIX)
        if _variable(name) in environment
    }
    for source in (flags, variables):
        direct = source.get(field.name)
        file = None
        if _setting(field).secret:
            file = source.get(field.name + _FILE_SUFFIX)
        if direct is not None and file is not None:
            flag = _flag(field.name + _FILE_SUFFIX)
            allowed = f"only one of this and {_flag(field.name)}"
            raise exceptions.SettingError(flag, file, allowed)
        if file is not None:
            return _read_key(field.name + _FILE_SUFFIX, file)
        if direct is not None:
            return direct
    return None


def _read_key(name: str, file: str) -> str:
    """Return the content of a key file without the trailing line break."""
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
    spec = _setting(field)
    if text is None:
        if field.default is setting.REQUIRED:
            allowed = f"{spec.allowed}; it is required"
            raise exceptions.SettingError(_flag(field.name), "", allowed)
        return field.default
    try:
        return spec.parse(text)
    except ValueError:
        shown = _SECRET if spec.secret else text
        flag = _flag(field.name)
        raise exceptions.SettingError(flag, shown, spec.allowed) from None


def _setting(field: dataclasses.Field[Any]) -> setting.Setting:
    return field.metadata[setting.METADATA_KEY]


def _add_flag(
    group: argparse._ArgumentGroup, name: str, text: str, allowed: str, default: str
) -> None:
    shown = f"{text} ({allowed}{default}; ${_variable(name)})"
    # argparse formats help texts with the % operator.
    shown = shown.replace("%", "%%")
    group.add_argument(_flag(name), metavar="VALUE", dest=name, help=shown)


def _dashed(field_name: str) -> str:
    return field_name.replace("_", "-")


def _flag(field_name: str) -> str:
    return "--" + _dashed(field_name)


def _variable(field_name: str) -> str:
    return ENVIRONMENT_PREFIX + field_name.upper()


def _default_note(field: dataclasses.Field[Any]) -> str:
    value = field.default
    if value is setting.REQUIRED:
        return "; required"
    if value in ("", None, ()):
        return "; default none"
    return f"; default {value}"
