"""Encoding of log entries and reading of operator requests."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import result, status
from limpetreel.catalog.commands import (
    bootstrap,
    class_create,
    class_delete,
    class_set,
    member_changed,
    member_joined,
    member_removed,
    share_changed,
    zone_create,
    zone_in,
    zone_out,
)
from limpetreel.core import failure, reason

OperatorRequest = (
    class_create.ClassCreate
    | class_set.ClassSet
    | class_delete.ClassDelete
    | zone_create.ZoneCreate
    | zone_out.ZoneOut
    | zone_in.ZoneIn
)
Command = (
    OperatorRequest
    | bootstrap.Bootstrap
    | member_joined.MemberJoined
    | member_changed.MemberChanged
    | member_removed.MemberRemoved
    | share_changed.ShareChanged
)

MAX_NAME_CHARACTERS = 64
FORBIDDEN = {
    "weight": "limpetreel measures the capacity of upstreams and sets shares itself",
    "address": "limpetreel allocates addresses and upstreams announce their own",
}
_FORBIDDEN_FIELDS = {
    "weight": "weight",
    "weights": "weight",
    "share": "weight",
    "shares": "weight",
    "address": "address",
    "addresses": "address",
    "host": "address",
    "ip": "address",
    "port": "address",
    "upstreams": "address",
}

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def encode(command: Command) -> bytes:
    """Return the log entry of a command."""
    return _ENCODER.encode(command)


def decode(entry: bytes) -> Command | failure.Failure:
    """Return the command of a log entry."""
    try:
        return _DECODER.decode(entry)
    except msgspec.DecodeError as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "command.decode", detail=str(exc)
        )


def read_request(body: bytes) -> OperatorRequest | result.Result:
    """Return the command of an operator request, or the reason to reject it.

    Parameters
    ----------
    body : bytes
        JSON object with the fields of the command and its tag in ``type``.
    """
    try:
        fields = msgspec.json.decode(body, type=dict)
    except (msgspec.DecodeError, RecursionError) as exc:
        return result.Result(status.Status.REJECTED, detail=f"not an object: {exc}")
    command_id = str(fields.get("command_id", ""))
    for name in sorted(fields):
        kind = _FORBIDDEN_FIELDS.get(name)
        if kind is not None:
            return _rejected(command_id, f"{name} cannot be set: {FORBIDDEN[kind]}")
    try:
        command = msgspec.convert(fields, OperatorRequest)
    except msgspec.ValidationError as exc:
        return _rejected(command_id, str(exc))
    problem = _check_names(command)
    return _rejected(command_id, problem) if problem else command


def _check_names(command: OperatorRequest) -> str:
    for field in ("command_id", "name"):
        if not 1 <= len(getattr(command, field)) <= MAX_NAME_CHARACTERS:
            return f"{field} must have 1 to {MAX_NAME_CHARACTERS} characters"
    if command.expected < 0:
        return f"expected revision {command.expected} is negative"
    return ""


def _rejected(command_id: str, detail: str) -> result.Result:
    return result.Result(status.Status.REJECTED, command_id=command_id, detail=detail)
