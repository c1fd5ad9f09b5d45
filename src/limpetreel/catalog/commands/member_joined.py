"""Command for a member that joins or has restarted."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import xxhash

from limpetreel.catalog import member_record, member_state, result, role, status

if TYPE_CHECKING:
    from limpetreel.catalog import state as catalog_state


class MemberJoined(msgspec.Struct, frozen=True, tag="member_joined"):
    """A node has renewed with an incarnation that the table does not hold.

    Attributes
    ----------
    name, role, class_name, zone, region, host, port, incarnation, share, state
        The member, as in `member_record.MemberRecord`.
    """

    name: str
    role: role.Role
    class_name: str
    zone: str
    region: str
    host: str
    port: int
    incarnation: int
    share: int
    state: member_state.MemberState = member_state.MemberState.ACTIVE

    def apply(self, index: int, target: catalog_state.State) -> result.Result:
        """Add the member, or replace its previous incarnation."""
        old = target.table.records.get(f"member/{self.name}")
        current_incarnation = (
            old.incarnation if isinstance(old, member_record.MemberRecord) else -1
        )
        if self.incarnation <= current_incarnation:
            return result.Result(
                status.Status.REFUSED,
                detail=f"incarnation {self.incarnation} of {self.name} is not "
                f"above {current_incarnation}",
            )
        first = self.incarnation
        if isinstance(old, member_record.MemberRecord):
            first = old.first_incarnation
        record = member_record.MemberRecord(
            node_id=xxhash.xxh64_intdigest(self.name.encode()),
            name=self.name,
            role=self.role,
            class_name=self.class_name,
            zone=self.zone,
            region=self.region,
            host=self.host,
            port=self.port,
            incarnation=self.incarnation,
            share=self.share,
            state=self.state,
            modified=index,
            first_incarnation=first,
        )
        target.table.put(record)
        return result.Result(status.Status.APPLIED, index)
