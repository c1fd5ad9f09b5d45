"""Change of role."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import role


class RoleChanged(msgspec.Struct, frozen=True, tag="role_changed"):
    """The role, the term or the known leader has changed.

    Attributes
    ----------
    role : Role
        New role.
    term : int
        Current term.
    leader : str
        Identity of the leader, empty if unknown.
    """

    role: role.Role
    term: int
    leader: str
