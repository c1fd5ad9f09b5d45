"""Encoding of settings for the decision log."""

from __future__ import annotations

import pathlib
from typing import Any, TypeVar

import msgspec

from limpetreel.core import failure, reason
from limpetreel.settings import base_settings

SettingsT = TypeVar("SettingsT", bound=base_settings.BaseSettings)


def encode(cfg: base_settings.BaseSettings) -> bytes:
    """Return settings in MessagePack; secrets must have been removed by the caller."""
    return msgspec.msgpack.encode(cfg, enc_hook=_encode_path)


def decode(data: bytes, kind: type[SettingsT]) -> SettingsT | failure.Failure:
    """Return the settings of a header.

    Parameters
    ----------
    data : bytes
        Output of `encode`.
    kind : type
        Class of the settings.
    """
    try:
        return msgspec.msgpack.decode(data, type=kind, dec_hook=_decode_path)
    except (msgspec.DecodeError, RecursionError) as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "settings.decode", detail=str(exc)
        )


def _encode_path(value: Any) -> Any:
    if isinstance(value, pathlib.PurePath):
        return str(value)
    raise NotImplementedError(type(value))


def _decode_path(kind: type, value: Any) -> Any:
    if issubclass(kind, pathlib.PurePath):
        return pathlib.Path(value)
    raise NotImplementedError(kind)
