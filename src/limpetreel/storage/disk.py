"""Files of one data folder."""

from __future__ import annotations

import abc

from limpetreel import exceptions


class Disk(abc.ABC):
    """File operations that the log needs.

    Content is durable after `sync`, names are durable after `sync_folder`. Each
    method raises `OSError` if it fails, and `append` raises `DiskFullError` if the
    medium has no space for the data.
    """

    @abc.abstractmethod
    def list_files(self) -> list[str]:
        """Return the names of the files, sorted."""

    @abc.abstractmethod
    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    @abc.abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is created if it does not exist."""

    def append_whole(self, name: str, data: bytes) -> None:
        """Write a new file; it is removed again if there is no space."""
        try:
            self.append(name, data)
        except exceptions.DiskFullError:
            if name in self.list_files():
                self.remove(name)
            raise

    @abc.abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size."""

    @abc.abstractmethod
    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    @abc.abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing the one that has the new name."""

    @abc.abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file."""

    @abc.abstractmethod
    def sync_folder(self) -> None:
        """Make the names of the files durable."""

    @abc.abstractmethod
    def close(self) -> None:
        """Close all open files and release the folder."""
