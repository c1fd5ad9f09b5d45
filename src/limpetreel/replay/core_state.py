"""Serialization of the state of a core."""

from __future__ import annotations

import enum
import inspect
import io
import pickle
from typing import Any

from limpetreel.core import core, failure, reason
from limpetreel.replay import known_type


def save(target: core.Core) -> bytes | failure.Failure:
    """Return the state of a core.

    Parameters
    ----------
    target : Core
        The core.

    Returns
    -------
    bytes or Failure
        Failure if the core holds an object that cannot be pickled, such as a
        function.
    """
    try:
        return pickle.dumps(target, protocol=pickle.HIGHEST_PROTOCOL)
    except (pickle.PicklingError, AttributeError, TypeError, RecursionError) as exc:
        return failure.Failure(reason.Reason.MALFORMED, "replay.save", detail=str(exc))


def load(data: bytes) -> core.Core | failure.Failure:
    """Return a core restored from its state.

    Only the types that `known_type` allows are created, since the file may come
    from an untrusted source.

    Parameters
    ----------
    data : bytes
        Output of `save`.
    """
    try:
        restored = _Unpickler(io.BytesIO(data)).load()
    # Damaged data can raise almost any exception in the constructors that it names.
    except Exception as exc:
        return failure.Failure(reason.Reason.CORRUPT, "replay.load", detail=str(exc))
    if not isinstance(restored, core.Core):
        return failure.Failure(reason.Reason.CORRUPT, "replay.load", detail="no core")
    return restored


def _get_attribute(owner: Any, name: str) -> Any:
    """Return a member of an enumeration or a method of an object of a known type.

    Pickle refers to both through getattr, which would give access to any attribute.
    """
    if isinstance(owner, type) and issubclass(owner, enum.Enum):
        return owner[name]
    kind = type(owner)
    is_known = known_type.find(kind.__module__, kind.__qualname__) is kind
    if not is_known or not inspect.isfunction(getattr(kind, name, None)):
        raise pickle.UnpicklingError(f"{name} of {kind} is not allowed")
    return getattr(owner, name)


class _Unpickler(pickle.Unpickler):
    """Unpickler that creates known types only."""

    def find_class(self, module: str, name: str) -> Any:
        if (module, name) == ("builtins", "getattr"):
            return _get_attribute
        allowed_type = known_type.find(module, name)
        if allowed_type is None:
            raise pickle.UnpicklingError(f"{module}.{name} is not allowed")
        return allowed_type
