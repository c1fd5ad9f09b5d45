"""Base class of operator commands."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from limpetreel.catalog import field_difference, result, status

if TYPE_CHECKING:
    from limpetreel.catalog import record, state


class OperatorCommand(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Change of one record that an operator asks for.

    Attributes
    ----------
    command_id : str
        Unique id; a resent command carries the id of the first attempt.
    expected : int
        Revision of the record that the operator saw; 0 to create it.
    name : str
        Name of the class or zone.
    """

    command_id: str
    expected: int
    name: str

    def apply(self, index: int, target: state.State) -> result.Result:
        """Apply the command to the state.

        Parameters
        ----------
        index : int
            Index of the log entry; revision of the changed record.
        target : State
            The replicated state.
        """
        existing = self.current(target)
        if self.expected != (existing.modified if existing is not None else 0):
            return self._conflict(existing)
        return self.change(index, target)

    def current(self, target: state.State) -> record.Record | None:
        """Return the live record that the command changes, or None."""
        raise NotImplementedError

    def new_values(self) -> dict[str, Any]:
        """Return the fields that the command sets, with their values."""
        raise NotImplementedError

    def change(self, index: int, target: state.State) -> result.Result:
        """Change the record, whose revision is the expected one, or refuse to."""
        raise NotImplementedError

    def applied(self, revision: int, detail: str = "") -> result.Result:
        """Return the answer to an applied command."""
        return result.Result(status.Status.APPLIED, revision, self.command_id, detail)

    def refused(self, detail: str) -> result.Result:
        """Return the answer to a command whose effect is not allowed."""
        return result.Result(
            status.Status.REFUSED, self.expected, self.command_id, detail
        )

    def _conflict(self, existing: record.Record | None) -> result.Result:
        if existing is None:
            detail = f"{self.name} does not exist, expected revision {self.expected}"
            return result.Result(
                status.Status.CONFLICT, 0, self.command_id, detail=detail
            )
        detail = (
            f"{self.name} was changed at revision {existing.modified}, "
            f"expected revision {self.expected}"
        )
        return result.Result(
            status.Status.CONFLICT,
            existing.modified,
            self.command_id,
            detail,
            _differences(existing, self.new_values()),
        )


def _differences(
    existing: record.Record, new_values: dict[str, Any]
) -> tuple[field_difference.FieldDifference, ...]:
    """Return the fields of a record that differ from new values, by name."""
    return tuple(
        field_difference.FieldDifference(name, str(getattr(existing, name)), str(value))
        for name, value in sorted(new_values.items())
        if getattr(existing, name) != value
    )
