"""Exceptions for internal errors and for the external interfaces."""

from __future__ import annotations


class LimpetreelError(Exception):
    """Base class of all exceptions of the project.

    Parameters
    ----------
    step : str
        The step that failed, such as ``"log_store.persist"``.
    detail : str
        Description of the failure.
    peer : str
        Peer involved in the failure, empty if there is none.
    path : str
        File involved in the failure, empty if there is none.
    """

    def __init__(
        self, step: str, detail: str = "", *, peer: str = "", path: str = ""
    ) -> None:
        where = f" at {peer or path}" if peer or path else ""
        super().__init__(f"{step}{where}: {detail}")
        self.step = step
        self.detail = detail
        self.peer = peer
        self.path = path


class ConsensusError(LimpetreelError):
    """The replicated log is in a state that the protocol does not allow."""


class StorageError(LimpetreelError):
    """A file could not be written or synced; the instance must stop."""


class DiskFullError(StorageError):
    """The disk is full; data that was synced before is intact."""


class CorruptError(StorageError):
    """Stored data is damaged in a way that a crash cannot explain."""


class SettingError(LimpetreelError):
    """A setting has a value that is not allowed.

    Parameters
    ----------
    name : str
        Name of the setting.
    value : str
        Rejected value; a placeholder if it is secret.
    allowed : str
        Description of the allowed values.
    """

    def __init__(self, name: str, value: str, allowed: str) -> None:
        self.name = name
        super().__init__(
            "settings.load", f"{name}={value!r} is not allowed; use {allowed}"
        )


class DocumentError(LimpetreelError):
    """A configuration document is not valid."""
