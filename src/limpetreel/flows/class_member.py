"""Member of a class, as used by the flow router."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import member_state


class ClassMember(msgspec.Struct, frozen=True):
    """Agent of a class.

    Attributes
    ----------
    node_id : int
        Node id.
    incarnation : int
        Incarnation in the table.
    state : member_state.MemberState
        State in the table.
    region : str
        Region of the agent.
    modified : int
        Revision of the last change of the record.
    serving : bool
        False if its zone is out of service. Such an agent still answers
        messages, but its flows are given new owners.
    returned : int
        Revision at which it last returned from the state LOST; 0 if it was never lost.
    """

    node_id: int
    incarnation: int
    state: member_state.MemberState
    region: str
    modified: int
    serving: bool = True
    returned: int = 0
