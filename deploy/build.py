"""Build of the deploy file: compile the programs, and provide their libraries.

The programs run from the sources of the tree (`limpetreel/__init__.py`), so the build
copies none. It compiles them first, since that needs no network. Libraries that serve
are kept, wherever they come from; otherwise all are installed aside and take the place
of the old ones at once.
"""

from __future__ import annotations

import base64
import contextlib
import ctypes
import fcntl
import hashlib
import importlib.util
import os
import pathlib
import py_compile
import re
import shutil
import struct
import subprocess
import sys
from importlib import metadata
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MIN_PYTHON = (3, 11)
REQUIREMENTS = pathlib.Path("deploy/requirements.txt")
TARGET = pathlib.Path("target")
LIBRARIES = TARGET / "deps"
NEW_LIBRARIES = "deps.new."
"""Prefix of the folders that libraries are installed in; each build has its own, since
the installer of one that was killed may still write."""
LOCK = TARGET / "build.lock"
PROGRAMS = pathlib.Path("src/limpetreel")
LOADER = pathlib.Path("limpetreel")
_HASHED = 0b01
_CHECKED = 0b10
"""Flags in the header of a compiled file."""
_AT_FDCWD = -100
_RENAME_EXCHANGE = 2


class BuildError(Exception):
    """The build cannot provide what the programs need; the message says why."""


def compile_sources(sources: Iterable[pathlib.Path], is_checked: bool) -> None:
    """Compile the sources whose compiled files are not of their contents.

    Compiled files name a hash of their source, since times and sizes do not tell
    sources apart in trees whose files all have the same time.

    Parameters
    ----------
    sources : iterable of Path
        Python files.
    is_checked : bool
        Whether Python compares the hash at each import.

    Raises
    ------
    BuildError
        If a file is not valid Python.
    """
    mode = py_compile.PycInvalidationMode.UNCHECKED_HASH
    flags = _HASHED
    if is_checked:
        mode = py_compile.PycInvalidationMode.CHECKED_HASH
        flags = _HASHED | _CHECKED
    for source in sources:
        compiled = pathlib.Path(importlib.util.cache_from_source(str(source)))
        expected = importlib.util.MAGIC_NUMBER + struct.pack("<I", flags)
        expected += importlib.util.source_hash(source.read_bytes())
        with contextlib.suppress(FileNotFoundError):
            if compiled.read_bytes()[: len(expected)] == expected:
                continue
        try:
            py_compile.compile(str(source), doraise=True, invalidation_mode=mode)
        except py_compile.PyCompileError as exc:
            raise BuildError(f"{source} is not valid Python: {exc.msg}") from exc


def install_loader(libraries: pathlib.Path) -> None:
    """Put the loader of the tree's programs in place of a package among the libraries.

    The first file of the package changes at once, and with it all programs.
    """
    package = libraries / LOADER.name
    package.mkdir(parents=True, exist_ok=True)
    scratch = package / "__init__.py.new"
    shutil.copyfile(LOADER / "__init__.py", scratch)
    scratch.replace(package / "__init__.py")
    for path in package.iterdir():
        if path.name == "__init__.py":
            continue
        if path.is_dir():
            shutil.rmtree(path)
        else:
            path.unlink()
    compile_sources(package.glob("*.py"), is_checked=True)


def read_requirements(path: pathlib.Path) -> dict[str, str]:
    """Return the version of each library by canonical name."""
    lines = path.read_text().splitlines()
    pairs = (x.split("==") for x in lines if x.strip() and not x.startswith("#"))
    return {_canonical_name(name): version.strip() for name, version in pairs}


def find_fault(libraries: pathlib.Path, required: dict[str, str]) -> str | None:
    """Return why a folder of libraries does not serve, or None if it does.

    Parameters
    ----------
    libraries : Path
        Folder with installed libraries.
    required : dict of str to str
        Version of each library by canonical name.
    """
    installed: dict[str, list[metadata.Distribution]] = {}
    for found in metadata.distributions(path=[str(libraries)]):
        installed.setdefault(_canonical_name(found.name), []).append(found)
    modules = []
    for name, version in required.items():
        versions = sorted(x.version for x in installed.get(name, ()))
        if versions != [version]:
            text = " and ".join(versions) or "no version"
            return f"{text} of {name} is installed, {version} is required"
        fault = _find_damage(installed[name][0])
        if fault:
            return f"{name}: {fault}"
        modules += _module_names(installed[name][0])
    return _find_import_fault(libraries, modules)


def install_libraries(required: dict[str, str]) -> None:
    """Install the libraries aside and swap them with the present ones.

    Raises
    ------
    BuildError
        If they cannot be installed, or do not serve. The present ones stay.
    """
    for left in TARGET.glob(f"{NEW_LIBRARIES}*"):
        shutil.rmtree(left, ignore_errors=True)
    new = TARGET / f"{NEW_LIBRARIES}{os.getpid()}"
    words = [sys.executable, "-m", "pip", "install", "-q"]
    words += ["--disable-pip-version-check", "--target", str(new)]
    result = subprocess.run(
        [*words, "-r", str(REQUIREMENTS)], capture_output=True, text=True, check=False
    )
    if result.returncode:
        lines = result.stderr.strip().splitlines() or ["pip gave no reason"]
        raise BuildError(f"they cannot be installed: {lines[-1]}")
    fault = find_fault(new, required)
    if fault:
        raise BuildError(f"they do not serve once installed: {fault}")
    install_loader(new)
    _swap(new, LIBRARIES)
    shutil.rmtree(new, ignore_errors=True)


def build() -> None:
    """Build the tree in the current folder.

    Raises
    ------
    BuildError
        If the programs or their libraries cannot be provided.
    """
    compile_sources(LOADER.glob("*.py"), is_checked=True)
    compile_sources(PROGRAMS.rglob("*.py"), is_checked=True)
    install_loader(LIBRARIES)
    required = read_requirements(REQUIREMENTS)
    fault = find_fault(LIBRARIES, required)
    if fault:
        try:
            install_libraries(required)
        except BuildError as exc:
            message = f"the libraries in {LIBRARIES} do not serve ({fault}), and {exc}"
            raise BuildError(message) from exc
    files = LIBRARIES.rglob("*.py")
    compile_sources((x for x in files if x.parent.name != LOADER.name), False)


def main() -> int:
    """Build the tree, after any build that runs already; return the exit code."""
    if sys.version_info < MIN_PYTHON:
        version = ".".join(map(str, sys.version_info[:3]))
        wanted = ".".join(map(str, MIN_PYTHON))
        print(f"build: Python {version} is too old, {wanted} needed", file=sys.stderr)
        return 1
    TARGET.mkdir(exist_ok=True)
    with LOCK.open("w") as lock:
        # Released by the kernel, also if this process is killed.
        fcntl.flock(lock, fcntl.LOCK_EX)
        try:
            build()
        except (BuildError, OSError) as exc:
            print(f"build: {exc}", file=sys.stderr)
            return 1
    return 0


def _canonical_name(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).strip().lower()


def _files(distribution: metadata.Distribution) -> Iterator[metadata.PackagePath]:
    """Yield the installed files, without scripts and compiled files."""
    for file in distribution.files or ():
        if file.parts[0] != "bin" and not {"..", "__pycache__"} & set(file.parts):
            yield file


def _find_damage(distribution: metadata.Distribution) -> str | None:
    """Return which file of a library is missing or has other contents."""
    for file in _files(distribution):
        try:
            content = pathlib.Path(str(distribution.locate_file(file))).read_bytes()
        except OSError as exc:
            return f"{file} cannot be read: {exc.strerror}"
        if file.hash is None:
            continue
        digest = hashlib.new(file.hash.mode, content).digest()
        if base64.urlsafe_b64encode(digest).rstrip(b"=").decode() != file.hash.value:
            return f"{file} is not the file that was installed"
    return None


def _module_names(distribution: metadata.Distribution) -> Iterator[str]:
    """Yield the top modules of a library and its extension modules.

    Extension modules are named one by one, since some libraries do without one that is
    for another processor.
    """
    for file in _files(distribution):
        folders, name = file.parts[:-1], file.name.partition(".")[0]
        if file.suffix == ".so":
            yield ".".join((*folders, name))
        elif file.name == "__init__.py" and len(folders) == 1:
            yield folders[0]
        elif file.suffix == ".py" and not folders:
            yield name


def _find_import_fault(libraries: pathlib.Path, modules: list[str]) -> str | None:
    """Return the error of the first module that a fresh interpreter cannot import."""
    code = "import importlib, sys; [importlib.import_module(x) for x in sys.argv[1:]]"
    result = subprocess.run(
        [sys.executable, "-S", "-c", code, *modules],
        env={**os.environ, "PYTHONPATH": str(libraries)},
        capture_output=True,
        text=True,
        check=False,
    )
    if result.returncode:
        lines = result.stderr.strip().splitlines()
        return lines[-1] if lines else f"the interpreter ended with {result.returncode}"
    return None


def _swap(new: pathlib.Path, old: pathlib.Path) -> None:
    """Exchange two folders, at once where the file system can."""
    words = (_AT_FDCWD, os.fsencode(new), _AT_FDCWD, os.fsencode(old))
    with contextlib.suppress(AttributeError):
        if ctypes.CDLL(None).renameat2(*words, _RENAME_EXCHANGE) == 0:
            return
    aside = old.with_suffix(".old")
    shutil.rmtree(aside, ignore_errors=True)
    shutil.move(old, aside)
    shutil.move(new, old)
    shutil.move(aside, new)


if __name__ == "__main__":
    sys.exit(main())
