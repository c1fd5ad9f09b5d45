"""Data folder of a machine without a disk."""

from __future__ import annotations

from limpetreel.storage import disk


class MemoryDisk(disk.Disk):
    """Files that are lost with the process.

    An instance that starts again on an empty folder joins its group under a new
    identity, so the loss is the same as that of a disk.
    """

    def __init__(self) -> None:
        self._files: dict[str, bytearray] = {}

    def list_files(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        if name not in self._files:
            raise FileNotFoundError(name)
        return bytes(self._files[name])

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is created if it does not exist."""
        self._files.setdefault(name, bytearray()).extend(data)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to a size."""
        del self._files[name][size:]

    def sync(self, name: str) -> None:
        """Return at once; nothing is more durable than the process."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing the one that has the new name."""
        self._files[new] = self._files.pop(old)

    def remove(self, name: str) -> None:
        """Remove a file."""
        del self._files[name]

    def sync_folder(self) -> None:
        """Return at once; nothing is more durable than the process."""

    def close(self) -> None:
        """Do nothing; no file is open."""
