"""Imports of a process without the parts of libraries that it does not use."""

from __future__ import annotations

import importlib
import os
import sys
import types
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator

_DEFERRED = (
    "asyncio.sslproto",
    "inspect",
    "linecache",
    "locale",
    "msgspec.inspect",
    "msgspec.toml",
    "msgspec.yaml",
    "platform",
    "textwrap",
    "tokenize",
    "traceback",
)
"""Modules that asyncio, msgspec and their imports use for error messages, debugging,
subprocesses and other formats."""


class _DeferredModule(types.ModuleType):
    """Module that is imported when its first attribute is read.

    `importlib.util.LazyLoader` does not serve here: in Python 3.11 each further import
    statement loads the module.
    """

    def __getattr__(self, attribute: str) -> Any:
        """Import the module and return one of its attributes."""
        self.load()
        return getattr(sys.modules[self.__name__], attribute)

    def load(self) -> None:
        """Import the module, and take over its attributes."""
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        module = importlib.import_module(self.__name__)
        self.__dict__.update(module.__dict__)


def import_asyncio() -> None:
    """Import asyncio without TLS, and some modules only on first use.

    Both take a fifth of the processor time of a start. The roles on the platform use
    no TLS, and asyncio supports an interpreter without it. Nothing happens if asyncio
    is imported already.
    """
    if "asyncio" in sys.modules:
        return
    for name in _DEFERRED:
        if name not in sys.modules:
            sys.modules[name] = _DeferredModule(name)
    # All that `uuid`, which msgspec imports, reads from this module.
    sys.modules["platform"].__dict__.setdefault("system", lambda: os.uname().sysname)
    is_blocked = "ssl" not in sys.modules
    if is_blocked:
        # None makes the import fail; other modules can import it afterwards.
        sys.modules["ssl"] = None  # type: ignore[assignment]
    try:
        import asyncio  # noqa: F401
    finally:
        if is_blocked:
            del sys.modules["ssl"]


def import_deferred() -> None:
    """Import the deferred modules.

    Called before libraries that look at the import system are imported: the log library
    copies modules, and one that is deferred has no specification to do that with.
    """
    for _ in import_deferred_in_steps():
        pass


def import_deferred_in_steps() -> Iterator[None]:
    """Import the deferred modules one at a time."""
    for name in _DEFERRED:
        module = sys.modules.get(name)
        if isinstance(module, _DeferredModule):
            module.load()
            yield
