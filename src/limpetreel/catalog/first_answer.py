"""Answer stored to deduplicate resent commands."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import result


class FirstAnswer(msgspec.Struct, frozen=True, array_like=True):
    """First answer to a command id.

    Attributes
    ----------
    command_id : str
        Id of the command.
    digest : bytes
        128-bit hash of the command; distinguishes a resent command from another one
        under the same id.
    answer : Result
        The answer.
    """

    command_id: str
    digest: bytes
    answer: result.Result
