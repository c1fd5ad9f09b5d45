"""Change of role."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import role


class RoleChanged(msgspec.Struct, frozen=True, tag="role_changed"):
    """The role, the term or the known leader has changed.

    Attributes
    ----------
    role : Role
        Role from now on.
    term : int
        Present term.
    leader : str
        Identity of the leader, empty if unknown.
    """

    role: role.Role
    term: int
    leader: str
