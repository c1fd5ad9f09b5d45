"""Import of asyncio without the parts that the roles on the platform do not use."""

from __future__ import annotations

import importlib
import sys
import types
from typing import Any


class _DeferredModule(types.ModuleType):
    """Module that is imported when its first attribute is read.

    `importlib.util.LazyLoader` does not serve here: in Python 3.11 each further import
    statement loads the module.
    """

    def __getattr__(self, attribute: str) -> Any:
        """Import the module, and take over its attributes."""
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        module = importlib.import_module(self.__name__)
        self.__dict__.update(module.__dict__)
        return getattr(module, attribute)


def import_asyncio() -> None:
    """Import asyncio without TLS, and `inspect` on first use.

    Both take a fifth of the processor time of a start. The roles on the platform use
    no TLS; asyncio supports an interpreter without it. `inspect` serves error messages
    and debugging in asyncio, and the log library, which is imported after the start.
    Nothing happens if asyncio is imported already.
    """
    if "asyncio" in sys.modules:
        return
    if "inspect" not in sys.modules:
        sys.modules["inspect"] = _DeferredModule("inspect")
    is_blocked = "ssl" not in sys.modules
    if is_blocked:
        # None makes the import fail; other modules can import it afterwards.
        sys.modules["ssl"] = None  # type: ignore[assignment]
    try:
        import asyncio  # noqa: F401
    finally:
        if is_blocked:
            del sys.modules["ssl"]
