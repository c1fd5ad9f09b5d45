"""What the build of the deploy file has left, compared with the tree it stands in."""

from __future__ import annotations

import os
import sys

import limpetreel

LIBRARIES = os.path.join("target", "deps")
REQUIREMENTS = os.path.join("deploy", "requirements.txt")
REBUILD = "run 'sh deploy/build.sh'"
_FIRST_FILE = os.path.join("src", "limpetreel", "__init__.py")


def package_folder() -> str:
    """Return the folder of the programs that this process runs."""
    return os.path.dirname(os.path.abspath(limpetreel.__file__))


def find_faults() -> list[str]:
    """Return in which ways the build of this process is not that of its tree.

    A process that was not started from a source tree, or whose libraries do not come
    from the build, has only its programs compared.
    """
    folder = package_folder()
    root = os.path.dirname(os.path.dirname(folder))
    faults = _other_tree(folder, os.getcwd())
    libraries = os.path.join(root, LIBRARIES)
    if libraries in map(os.path.abspath, sys.path) and os.path.exists(
        os.path.join(root, REQUIREMENTS)
    ):
        faults += _other_libraries(libraries, os.path.join(root, REQUIREMENTS))
        faults += _uncompiled(folder)
    return faults


def explain_import(exc: ImportError) -> str:
    """Return a message for a library that cannot be imported."""
    return (
        f"a library cannot be imported: {exc}; {LIBRARIES} lacks it, or holds it for "
        f"another processor or Python than {sys.version.split()[0]} on "
        f"{os.uname().machine}; {REBUILD}"
    )


def _other_tree(folder: str, working_folder: str) -> list[str]:
    file = os.path.join(working_folder, _FIRST_FILE)
    if not os.path.exists(file) or os.path.samefile(os.path.dirname(file), folder):
        return []
    return [
        f"the programs run from {folder}, not from the tree {working_folder} in which "
        "the process was started"
    ]


def _other_libraries(libraries: str, requirements: str) -> list[str]:
    faults = []
    installed: dict[str, str] = {}
    for entry in os.listdir(libraries):
        name, _, version = entry.removesuffix(".dist-info").partition("-")
        if entry.endswith(".dist-info"):
            installed[_canonical_name(name)] = version
    with open(requirements) as file:
        lines = [x.strip() for x in file if "==" in x and not x.startswith("#")]
    for line in lines:
        name, _, version = line.partition("==")
        found = installed.get(_canonical_name(name))
        if found != version:
            faults.append(
                f"{found or 'no version'} of {name} is installed in {LIBRARIES}, "
                f"{version} is required; {REBUILD}"
            )
    return faults


def _uncompiled(folder: str) -> list[str]:
    tag = sys.implementation.cache_tag
    if os.path.exists(os.path.join(folder, "__pycache__", f"__init__.{tag}.pyc")):
        return []
    return [f"the programs are not compiled, so starts take longer; {REBUILD}"]


def _canonical_name(name: str) -> str:
    return name.strip().lower().replace("_", "-").replace(".", "-")
