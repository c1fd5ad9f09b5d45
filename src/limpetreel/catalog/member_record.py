"""Record of a member."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import member_state, role

MIN_SHARE = 1
MAX_SHARE = 64


class MemberRecord(msgspec.Struct, frozen=True, tag="member", array_like=True):
    """An entry or an agent.

    Attributes
    ----------
    node_id : int
        64-bit hash of the name.
    name : str
        Name from the node's settings, unique in the system.
    role : Role
        Entry or agent.
    class_name : str
        Class that the agent's upstream serves; empty for an entry.
    zone : str
        Zone of the node.
    region : str
        Region of the node.
    host : str
        IP number of the node.
    port : int
        UDP port for frames.
    incarnation : int
        Grows with each start of the node.
    share : int
        Part of the class's flows, `MIN_SHARE` to `MAX_SHARE`.
    state : MemberState
        State of the member.
    modified : int
        Revision of the last change.
    removed : bool
        True for a tombstone.
    first_incarnation : int
        Incarnation with which the name first joined. A node whose own incarnation
        is this one has certainly never served before.
    returned : int
        Revision at which the member last returned from the lost state, 0 if never.
        A node that missed tables derives from it whether others may have replaced it.
    """

    node_id: int
    name: str
    role: role.Role
    class_name: str
    zone: str
    region: str
    host: str
    port: int
    incarnation: int
    share: int
    state: member_state.MemberState
    modified: int
    removed: bool = False
    first_incarnation: int = 0
    returned: int = 0

    @property
    def key(self) -> str:
        """Key of the record in the table."""
        return f"member/{self.name}"
