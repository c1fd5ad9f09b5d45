"""Lifecycle of members, as the leader observes it."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from limpetreel.catalog import member_record, member_state, role
from limpetreel.catalog.commands import (
    command_codec,
    member_changed,
    member_joined,
    member_removed,
    share_changed,
)
from limpetreel.control import member_lifecycle, share_controller, tracked_member

if TYPE_CHECKING:
    from limpetreel.catalog import table
    from limpetreel.messages import renew as renew_message

LOST_SECONDS = 5.0
KEEP_LOST_SECONDS = 247.0
"""CoAP EXCHANGE_LIFETIME: until then, claims in a lost agent's buckets may be
incomplete at its successors."""

PENDING_TIMEOUT_SECONDS = 2.0
"""A proposal not applied after this time was lost with a leader and is repeated."""

MAX_STEP_SECONDS = 1.0
"""Longest step of the tracker's clock between two calls.

A leader that paused has renewals waiting in its sockets, so the rest of the pause
does not count as time without renewals.
"""

JOINS_PER_MINUTE = 3
"""Joins and returns of one member; losses are at most one more than these."""

MASS_WINDOW_SECONDS = 1.0
MASS_OUTAGE_SECONDS = 15.0
"""Time without renewals after which members are lost during a mass outage.

If most members of several zones stop renewing within a second, the cause is
probably the path of renewals to this leader rather than the members: a leader
with a quorum receives renewals through the other control instances too. A wrong
loss of most agents moves most buckets and leaves their claims possibly incomplete
for 247 s, while the longer wait delays recovery from one real outage of that size
by 10 s. A zone or a minority of zones is lost after the usual time.
"""

_MINUTE = 60.0


class MemberTracker:
    """Turns received and missing renewals into commands for the log.

    Only the leader runs it, and starts a new one when it is elected: the time
    without renewals counts from then on, so that a leader change does not lose all
    members.

    Parameters
    ----------
    now : float
        Time at which this instance became leader, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._called_at = now
        self._clock = 0.0
        self._lifecycle = member_lifecycle.MemberLifecycle()
        self._tracked: dict[str, tracked_member.TrackedMember] = {}
        self._shares = share_controller.ShareController()

    def renewed(
        self, now: float, renew: renew_message.Renew, records: table.Table
    ) -> list[command_codec.Command]:
        """Process a renewal and return the commands to propose.

        Parameters
        ----------
        now : float
            Time in seconds.
        renew : Renew
            The renewal, received by this or another control instance.
        records : Table
            Table of the catalog.
        """
        self._advance(now)
        existing = records.records.get(f"member/{renew.name}")
        if not _is_valid(renew) or _is_outdated(renew, existing):
            return []
        tracked = self._tracked_member(renew.name)
        if renew.capacity > 0:
            self._shares.report(self._clock, renew.name, renew.capacity)
        member = records.member(renew.name)
        is_known = member is not None and member.incarnation == renew.incarnation
        if is_known:
            tracked.renewed_at = self._clock
        if self._is_pending(tracked, existing.modified if existing is not None else 0):
            return []
        if member is None or not is_known:
            return self._join(renew, tracked, existing, records)
        return self._renewed_member(renew, tracked, member, records)

    def tick(self, now: float, records: table.Table) -> list[command_codec.Command]:
        """Return the commands for members whose renewals are overdue.

        Parameters
        ----------
        now : float
            Time in seconds; to be called every 0.5 s.
        records : Table
            Table of the catalog.
        """
        self._advance(now)
        members = records.members()
        is_mass_outage = self._is_mass_outage(members)
        commands: list[command_codec.Command] = []
        for member in members:
            tracked = self._tracked_member(member.name)
            if self._is_pending(tracked, member.modified):
                continue
            event = self._overdue_event(member, tracked, is_mass_outage)
            if event:
                commands += self._move(event, tracked, member)
        self._remove_stale(records)
        return commands

    def _advance(self, now: float) -> None:
        self._clock += min(max(now - self._called_at, 0.0), MAX_STEP_SECONDS)
        self._called_at = now

    def _tracked_member(self, name: str) -> tracked_member.TrackedMember:
        tracked = self._tracked.get(name)
        if tracked is None:
            tracked = tracked_member.TrackedMember(renewed_at=self._clock)
            self._tracked[name] = tracked
        return tracked

    def _is_pending(self, tracked: tracked_member.TrackedMember, revision: int) -> bool:
        if tracked.pending_since is None:
            return False
        is_applied = revision != tracked.pending_revision
        if is_applied or self._clock - tracked.pending_since >= PENDING_TIMEOUT_SECONDS:
            tracked.pending_since = None
            return False
        return True

    def _propose(
        self,
        command: command_codec.Command,
        tracked: tracked_member.TrackedMember,
        revision: int,
    ) -> list[command_codec.Command]:
        tracked.pending_since = self._clock
        tracked.pending_revision = revision
        return [command]

    def _join(
        self,
        renew: renew_message.Renew,
        tracked: tracked_member.TrackedMember,
        existing: object,
        records: table.Table,
    ) -> list[command_codec.Command]:
        if renew.leaving or not self._may_join(tracked):
            return []
        share = member_record.MIN_SHARE
        if renew.role is role.Role.AGENT:
            share = self._shares.target_share(renew.name, renew.class_name, records)
        event = "drain" if renew.draining else "renew"
        state = self._lifecycle.next_state(member_lifecycle.ABSENT, event)
        command = member_joined.MemberJoined(
            name=renew.name,
            role=renew.role,
            class_name=renew.class_name,
            zone=renew.zone,
            region=renew.region,
            host=renew.host,
            port=renew.port,
            incarnation=renew.incarnation,
            share=share,
            state=member_state.MemberState(state),
        )
        tracked.joins.append(self._clock)
        tracked.renewed_at = self._clock
        return self._propose(command, tracked, getattr(existing, "modified", 0))

    def _renewed_member(
        self,
        renew: renew_message.Renew,
        tracked: tracked_member.TrackedMember,
        member: member_record.MemberRecord,
        records: table.Table,
    ) -> list[command_codec.Command]:
        event = "leave" if renew.leaving else "drain" if renew.draining else "renew"
        is_return = member.state is member_state.MemberState.LOST
        if is_return and event != "leave" and not self._may_join(tracked):
            return []
        moved = self._move(event, tracked, member)
        if moved:
            if is_return:
                tracked.joins.append(self._clock)
            return moved
        if member.role is not role.Role.AGENT or renew.capacity <= 0:
            return []
        share = self._shares.change(self._clock, member, records)
        if share is None or share == member.share:
            return []
        command = share_changed.ShareChanged(member.name, member.incarnation, share)
        return self._propose(command, tracked, member.modified)

    def _move(
        self,
        event: str,
        tracked: tracked_member.TrackedMember,
        member: member_record.MemberRecord,
    ) -> list[command_codec.Command]:
        """Return the command for an event, or nothing if the state stays."""
        state = self._lifecycle.next_state(member.state, event)
        if state == member.state:
            return []
        name, incarnation = member.name, member.incarnation
        command: command_codec.Command
        if state == member_lifecycle.ABSENT:
            command = member_removed.MemberRemoved(name, incarnation)
        else:
            new = member_state.MemberState(state)
            command = member_changed.MemberChanged(name, incarnation, new)
        return self._propose(command, tracked, member.modified)

    def _may_join(self, tracked: tracked_member.TrackedMember) -> bool:
        recent = [at for at in tracked.joins if self._clock - at < _MINUTE]
        tracked.joins = recent
        return len(recent) < JOINS_PER_MINUTE

    def _overdue_event(
        self,
        member: member_record.MemberRecord,
        tracked: tracked_member.TrackedMember,
        is_mass_outage: bool,
    ) -> str:
        if member.state is not member_state.MemberState.LOST:
            tracked.lost_at = None
            limit = MASS_OUTAGE_SECONDS if is_mass_outage else LOST_SECONDS
            return "fall_silent" if self._clock - tracked.renewed_at >= limit else ""
        if tracked.lost_at is None:
            tracked.lost_at = self._clock
        if self._clock - tracked.lost_at < KEEP_LOST_SECONDS:
            return ""
        # A member that renews again but joins too often is not removed.
        is_overdue = self._clock - tracked.renewed_at >= LOST_SECONDS
        return "expire" if is_overdue else ""

    def _is_mass_outage(self, members: list[member_record.MemberRecord]) -> bool:
        """Return whether most members of several zones stopped renewing at once."""
        total: collections.Counter[str] = collections.Counter()
        overdue: collections.Counter[str] = collections.Counter()
        # The margin finds the members that stopped renewing in the same second but
        # whose last renewals, which are up to 0.55 s apart, came later.
        since = self._clock - (LOST_SECONDS - MASS_WINDOW_SECONDS)
        for member in members:
            if member.state is member_state.MemberState.LOST:
                continue
            total[member.zone] += 1
            if self._tracked_member(member.name).renewed_at <= since:
                overdue[member.zone] += 1
        zones = [z for z in total if 2 * overdue[z] > total[z]]
        if len(zones) < _MIN_OVERDUE_ZONES or 2 * len(zones) <= len(total):
            return False
        return 2 * overdue.total() > total.total()

    def _remove_stale(self, records: table.Table) -> None:
        limit = self._clock - _MINUTE
        stale = [
            name
            for name, tracked in self._tracked.items()
            if tracked.renewed_at < limit and records.member(name) is None
        ]
        for name in stale:
            del self._tracked[name]
            self._shares.remove(name)


_MIN_OVERDUE_ZONES = 2


def _is_valid(renew: renew_message.Renew) -> bool:
    """Return whether a renewal names a possible member."""
    if not 1 <= len(renew.name) <= command_codec.MAX_NAME_CHARACTERS:
        return False
    if not 1 <= renew.port <= _MAX_PORT or renew.incarnation < 1:
        return False
    return bool(renew.class_name) == (renew.role is role.Role.AGENT)


def _is_outdated(renew: renew_message.Renew, existing: object) -> bool:
    """Return whether the node was replaced or has left."""
    if not isinstance(existing, member_record.MemberRecord):
        return False
    if existing.removed:
        return renew.incarnation <= existing.incarnation
    return renew.incarnation < existing.incarnation


_MAX_PORT = 65535
