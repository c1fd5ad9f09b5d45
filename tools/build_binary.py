"""Build dist/limpetreel.pyz from the installed packages, without a network.

The archive contains the program and its dependencies, as installed in the
environment of the interpreter that runs this tool. The build is reproducible:
equal packages and sources give equal archives. An archive runs only on the same
platform and version of Python, since some of the packages are compiled.
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
_EXCLUDED_FILES = ("RECORD", "INSTALLER", "REQUESTED", "direct_url.json")
_FILE_MODE = 0o644


def find_packages(name: str) -> dict[str, metadata.Distribution]:
    """Return a package and its direct and indirect dependencies, by name."""
    packages: dict[str, metadata.Distribution] = {}
    pending = [requirements.Requirement(name)]
    while pending:
        requirement = pending.pop()
        key = utils.canonicalize_name(requirement.name)
        if key in packages and not requirement.extras:
            continue
        package = metadata.distribution(requirement.name)
        packages[key] = package
        for line in package.requires or ():
            dependency = requirements.Requirement(line)
            extras = requirement.extras or {""}
            if dependency.marker is None or any(
                dependency.marker.evaluate({"extra": extra}) for extra in extras
            ):
                pending.append(dependency)
    return packages


def copy_package(package: metadata.Distribution, folder: pathlib.Path) -> None:
    """Copy the files of an installed package without scripts and caches."""
    for file in package.files or ():
        if ".." in file.parts or "__pycache__" in file.parts or file.is_absolute():
            continue
        if file.name in _EXCLUDED_FILES or file.suffix == ".pth":
            continue
        copy_file(pathlib.Path(str(package.locate_file(file))), folder / file)


def copy_file(source: pathlib.Path, target: pathlib.Path) -> None:
    """Copy the content of a file and set a fixed mode, for a reproducible build."""
    target.parent.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(source, target)
    target.chmod(_FILE_MODE)


def build(target: pathlib.Path) -> None:
    """Write the archive."""
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
    """Build the archive twice and check that both are equal."""
    build(TARGET)
    with tempfile.TemporaryDirectory(prefix="limpetreel-build-") as name:
        second = pathlib.Path(name) / TARGET.name
        build(second)
        is_equal = second.read_bytes() == TARGET.read_bytes()
    print(f"{TARGET.relative_to(ROOT)}: {TARGET.stat().st_size / 1e6:.1f} MB")
    if not is_equal:
        print("the build is not reproducible: two archives differ", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
