"""Types that a decision log may name."""

from __future__ import annotations

import importlib
from typing import Any

# Shells and tools open sockets and files; a log must not be able to start them.
_PACKAGES = (
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
_STANDARD = {
    "array": ("_array_reconstructor", "array"),
    "builtins": ("bytearray", "dict", "float", "frozenset", "int", "list", "set"),
    "collections": ("Counter", "OrderedDict", "defaultdict", "deque"),
    "random": ("Random",),
}


def find(module: str, name: str) -> Any:
    """Return a type that a core may hold, None for any other name.

    The library names the function that rebuilds an array; it takes plain values.

    Parameters
    ----------
    module, name : str
        Module and name of the type.
    """
    if name in _STANDARD.get(module, ()):
        return getattr(importlib.import_module(module), name)
    parts = module.split(".")
    if len(parts) < 3 or parts[0] != "limpetreel" or parts[1] not in _PACKAGES:
        return None
    if parts[-1].endswith("_shell"):
        return None
    try:
        found = getattr(importlib.import_module(module), name, None)
    except ImportError:
        return None
    return found if isinstance(found, type) else None
