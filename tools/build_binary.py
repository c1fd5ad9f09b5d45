"""Build dist/limpetreel.pyz from the installed packages, without a network.

The file holds the program and the packages that it depends on, as they are
installed in the environment of the interpreter that runs this tool. Equal
packages and sources give equal files. It is bound to the platform and the
version of Python, since some of the packages are compiled.
"""

from __future__ import annotations

import pathlib
import shutil
import sys
import tempfile
from importlib import metadata

from packaging import requirements, utils
from shiv import cli

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "dist" / "limpetreel.pyz"
PROGRAM = "limpetreel"
INTERPRETER = f"/usr/bin/env python{sys.version_info[0]}.{sys.version_info[1]}"
# These differ between installations of the same package.
_LEFT_OUT = ("RECORD", "INSTALLER", "REQUESTED", "direct_url.json")
_FILE_MODE = 0o644


def find_packages(name: str) -> dict[str, metadata.Distribution]:
    """Return the packages that a package depends on, itself included."""
    found: dict[str, metadata.Distribution] = {}
    waiting = [requirements.Requirement(name)]
    while waiting:
        wanted = waiting.pop()
        key = utils.canonicalize_name(wanted.name)
        if key in found and not wanted.extras:
            continue
        package = metadata.distribution(wanted.name)
        found[key] = package
        for line in package.requires or ():
            item = requirements.Requirement(line)
            extras = wanted.extras or {""}
            if item.marker is None or any(
                item.marker.evaluate({"extra": extra}) for extra in extras
            ):
                waiting.append(item)
    return found


def copy_package(package: metadata.Distribution, folder: pathlib.Path) -> None:
    """Copy the files of an installed package, scripts and caches left out."""
    for file in package.files or ():
        if ".." in file.parts or "__pycache__" in file.parts or file.is_absolute():
            continue
        if file.name in _LEFT_OUT or file.suffix == ".pth":
            continue
        copy_file(pathlib.Path(str(package.locate_file(file))), folder / file)


def copy_file(source: pathlib.Path, target: pathlib.Path) -> None:
    """Copy content only, so that times and modes do not matter."""
    target.parent.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(source, target)
    target.chmod(_FILE_MODE)


def build(target: pathlib.Path) -> None:
    """Write the file."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="limpetreel-build-") as name:
        folder = pathlib.Path(name) / "packages"
        for package in find_packages(PROGRAM).values():
            copy_package(package, folder)
        source = ROOT / "src"
        for path in sorted((source / PROGRAM).rglob("*.py")):
            copy_file(path, folder / path.relative_to(source))
        arguments = [
            f"--site-packages={folder}",
            f"--entry-point={PROGRAM}.console.application:main",
            f"--python={INTERPRETER}",
            f"--output-file={target}",
            "--reproducible",
            "--compressed",
        ]
        cli.main(arguments, standalone_mode=False)


def main() -> int:
    """Build twice, compare, and report."""
    build(TARGET)
    with tempfile.TemporaryDirectory(prefix="limpetreel-build-") as name:
        again = pathlib.Path(name) / TARGET.name
        build(again)
        is_equal = again.read_bytes() == TARGET.read_bytes()
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size / 1e6:.1f} MB")
    if not is_equal:
        print("two builds differ", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
