"""Types that a decision log may name."""

from __future__ import annotations

import importlib
from typing import Any

# Shells and tools open sockets and files; a log must not be able to create them.
_ALLOWED_PACKAGES = (
    "admission",
    "agent",
    "assignment",
    "catalog",
    "coap",
    "consensus",
    "control",
    "core",
    "entry",
    "flows",
    "messages",
    "node",
    "requests",
    "serving",
    "wire",
)
_ALLOWED_STANDARD_TYPES = {
    "array": ("_array_reconstructor", "array"),
    "builtins": ("bytearray", "dict", "float", "frozenset", "int", "list", "set"),
    "collections": ("Counter", "OrderedDict", "defaultdict", "deque"),
    "random": ("Random",),
}


def find(module: str, name: str) -> Any:
    """Return a type that a core may hold, None for any other name.

    Pickle also names the function that rebuilds an array; it takes plain values.

    Parameters
    ----------
    module, name : str
        Module and name of the type.
    """
    if name in _ALLOWED_STANDARD_TYPES.get(module, ()):
        return getattr(importlib.import_module(module), name)
    parts = module.split(".")
    if len(parts) < 3 or parts[0] != "limpetreel" or parts[1] not in _ALLOWED_PACKAGES:
        return None
    if parts[-1].endswith("_shell"):
        return None
    try:
        candidate = getattr(importlib.import_module(module), name, None)
    except ImportError:
        return None
    return candidate if isinstance(candidate, type) else None
