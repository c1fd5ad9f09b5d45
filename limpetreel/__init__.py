"""Loads the package from the source tree that this folder stands in.

``python -m limpetreel`` finds this package first when it is started at the root of the
tree. The build puts a copy under ``target/deps``, for processes that are started
elsewhere. So a build folder that was carried over from another tree holds no programs.
"""

from __future__ import annotations

import os
import sys

_PACKAGE_FILE = os.path.join("src", "limpetreel", "__init__.py")


def _source_root() -> str:
    """Return the nearest folder above this one that contains the sources."""
    folder = os.path.dirname(os.path.abspath(__file__))
    while not os.path.isfile(os.path.join(folder, _PACKAGE_FILE)):
        parent = os.path.dirname(folder)
        if parent == folder:
            raise ImportError(f"no source tree with {_PACKAGE_FILE} above {__file__}")
        folder = parent
    return os.path.join(folder, "src")


_FOLDER = _source_root()
sys.path.insert(0, _FOLDER)
try:
    # The import statement below returns the package that takes this one's place.
    del sys.modules[__name__]
    import limpetreel  # noqa: F401
finally:
    sys.path.remove(_FOLDER)
