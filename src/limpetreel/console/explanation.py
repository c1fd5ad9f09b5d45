"""Explanation of where the packets of a flow go."""

from __future__ import annotations

import msgspec

from limpetreel.assignment import assignments, rendezvous
from limpetreel.catalog import class_record, member_record, member_state, table
from limpetreel.console import explained_member
from limpetreel.core import failure, reason
from limpetreel.flows import flow_key
from limpetreel.wire import address


class Explanation(msgspec.Struct, frozen=True):
    """Assignment of one flow at one revision.

    Attributes
    ----------
    class_name : str
        Class of the flow.
    class_id : int
        Number of the class.
    caller : str
        Caller address.
    bucket : int
        Bucket of the flow.
    revision : int
        Revision of the table.
    primary, backup : str
        Names of the agents, empty if there is none.
    members : tuple of ExplainedMember
        All agents of the class, in ascending order of cost.
    """

    class_name: str
    class_id: int
    caller: str
    bucket: int
    revision: int
    primary: str
    backup: str = msgspec.field(name="deputy")
    members: tuple[explained_member.ExplainedMember, ...]


def explain(
    records: table.Table, class_name: str, caller: tuple[str, int]
) -> Explanation | failure.Failure:
    """Recompute the assignment of a flow from the table.

    Parameters
    ----------
    records : Table
        The table.
    class_name : str
        Class that the caller addresses.
    caller : tuple of (str, int)
        IP number and port of the caller.
    """
    record = records.class_by_name(class_name)
    if record is None:
        return failure.Failure(reason.Reason.WRONG_CLASS, "explain", class_name)
    flow = flow_key.FlowKey(record.class_id, address.from_socket(caller))
    bucket = flow.bucket()
    assigned = assignments.Assignments(records).lookup(record.class_id, bucket)
    assigned_names = ("", "")
    if assigned is not None:
        assigned_names = (
            assigned.primary.name,
            assigned.backup.name if assigned.backup else "",
        )
    members = [
        _member(records, record, bucket, m, assigned_names)
        for m in records.agents_of(class_name)
    ]
    members.sort(key=lambda m: m.cost)
    return Explanation(
        class_name=class_name,
        class_id=record.class_id,
        caller=f"{caller[0]}:{caller[1]}",
        bucket=bucket,
        revision=records.revision,
        primary=assigned_names[0],
        backup=assigned_names[1],
        members=tuple(members),
    )


def _member(
    records: table.Table,
    record: class_record.ClassRecord,
    bucket: int,
    member: member_record.MemberRecord,
    assigned_names: tuple[str, str],
) -> explained_member.ExplainedMember:
    return explained_member.ExplainedMember(
        name=member.name,
        zone=member.zone,
        state=str(member.state),
        share=member.share,
        cost=rendezvous.cost(record.class_id, bucket, member.node_id, member.share),
        part=_part(records, record, member, assigned_names),
    )


def _part(
    records: table.Table,
    record: class_record.ClassRecord,
    member: member_record.MemberRecord,
    assigned_names: tuple[str, str],
) -> str:
    if member.name in assigned_names:
        return ("primary", "deputy")[assigned_names.index(member.name)]
    if member.state is not member_state.MemberState.ACTIVE:
        return f"excluded: {member.state}"
    if not records.is_zone_serving(member.zone):
        return f"excluded: zone {member.zone} is not in service"
    if record.zones and member.zone not in record.zones:
        return f"excluded: class may not run in zone {member.zone}"
    return "candidate"
