"""Digest of the sources of the programs."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator

FILES_PER_STEP = 100
"""A step takes about 3 ms of processor time."""


class SourceDigest:
    """Digest of all Python files of a package, as 16 hexadecimal digits.

    It is the same on all machines that have the same files. ``str`` returns it, and
    computes it once, which takes 13 ms of processor time.

    Parameters
    ----------
    folder : str
        Folder of the package.
    """

    def __init__(self, folder: str) -> None:
        self._folder = folder
        self._hash = xxhash.xxh3_64()
        self._steps = self._hash_files()

    def __str__(self) -> str:
        """Return the digest."""
        for _ in self._steps:
            pass
        return self._hash.hexdigest()

    def compute_in_steps(self) -> Iterator[None]:
        """Compute the digest in steps between which packets can be handled."""
        yield from self._steps

    def _hash_files(self) -> Iterator[None]:
        names = sorted(_source_files(self._folder))
        for number, name in enumerate(names, 1):
            with open(os.path.join(self._folder, name), "rb") as file:
                content = file.read()
            # The length keeps the end of one file apart from the start of the next.
            self._hash.update(f"{name}\0{len(content)}\0".encode())
            self._hash.update(content)
            if number % FILES_PER_STEP == 0:
                yield


def _source_files(folder: str) -> Iterator[str]:
    for path, _, files in os.walk(folder):
        for name in files:
            if name.endswith(".py"):
                yield os.path.relpath(os.path.join(path, name), folder)
