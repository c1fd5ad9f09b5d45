"""Data folder in the file system."""

from __future__ import annotations

import errno
import fcntl
import os

from limpetreel import exceptions
from limpetreel.storage import disk

_NO_SPACE = frozenset((errno.ENOSPC, errno.EDQUOT))


class FolderDisk(disk.Disk):
    """Files in a folder that one process locks at a time.

    Parameters
    ----------
    folder : str or os.PathLike
        The data folder; it is created if it does not exist.

    Raises
    ------
    StorageError
        If another process has locked the folder.
    """

    def __init__(self, folder: str | os.PathLike[str]) -> None:
        os.makedirs(folder, exist_ok=True)
        self._folder = os.fspath(folder)
        self._files: dict[str, int] = {}
        self._folder_fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            fcntl.flock(self._folder_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as exc:
            os.close(self._folder_fd)
            raise exceptions.StorageError(
                "folder_disk.lock", "held by another process", path=str(folder)
            ) from exc

    def list_files(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(os.listdir(self._folder))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        with open(self._path(name), "rb") as stream:
            return stream.read()

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is created if it does not exist."""
        try:
            fd = self._open(name)
            rest = memoryview(data)
            while rest:
                rest = rest[os.write(fd, rest) :]
        except OSError as exc:
            if exc.errno in _NO_SPACE:
                raise exceptions.DiskFullError(
                    "folder_disk.append", str(exc), path=name
                ) from exc
            raise

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size."""
        os.ftruncate(self._open(name), size)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        os.fsync(self._open(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing the one that has the new name."""
        self._close_file(old)
        self._close_file(new)
        os.rename(self._path(old), self._path(new))

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        os.remove(self._path(name))

    def sync_folder(self) -> None:
        """Make the names of the files durable."""
        os.fsync(self._folder_fd)

    def close(self) -> None:
        """Release the files and the folder."""
        for name in list(self._files):
            self._close_file(name)
        os.close(self._folder_fd)

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)

    def _open(self, name: str) -> int:
        # A file stays open until it is renamed or removed, since some file systems
        # report a failed write-back only to descriptors that were open then.
        if name not in self._files:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            self._files[name] = os.open(self._path(name), flags, 0o600)
        return self._files[name]

    def _close_file(self, name: str) -> None:
        fd = self._files.pop(name, None)
        if fd is not None:
            os.close(fd)
