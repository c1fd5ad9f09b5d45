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
from limpetreel.control import member_lifecycle, member_watch, share_controller

if TYPE_CHECKING:
    from limpetreel.catalog import table
    from limpetreel.messages import renew as renew_message

LOST_SECONDS = 5.0
KEEP_LOST_SECONDS = 247.0
"""CoAP EXCHANGE_LIFETIME: until then, the buckets of a lost agent are in doubt."""

PENDING_TIMEOUT_SECONDS = 2.0
"""A proposal not applied after this time was lost with a leader and is repeated."""

MAX_STEP_SECONDS = 1.0
"""Longest step of the tracker's clock between two calls.

A leader that paused has renewals waiting in its sockets, so the rest of the pause
does not count as silence of the members.
"""

JOINS_PER_MINUTE = 3
"""Joins and returns of one member; losses are at most one more than these."""

MASS_WINDOW_SECONDS = 1.0
MASS_HOLD_SECONDS = 15.0
"""Silence after which members are lost even if most of the system is silent.

Most members of several zones that fall silent within a second point at the path
of renewals to this leader rather than at the members: a leader with a quorum
receives renewals through the other control instances too. A wrong loss of most
agents moves most buckets and leaves them in doubt for 247 s, while the longer
wait costs one real outage of that size 10 s. A zone or a minority of zones is
lost after the usual time.
"""

_MINUTE = 60.0


class MemberTracker:
    """Turns renewals and silence into commands for the log.

    Only the leader runs it, and starts a new one when it is elected: silence
    counts from then on, so that a leader change does not lose all members.

    Parameters
    ----------
    now : float
        Time at which this instance became leader, in seconds.
    """

    def __init__(self, now: float) -> None:
        self._called_at = now
        self._clock = 0.0
        self._lifecycle = member_lifecycle.MemberLifecycle()
        self._watches: dict[str, member_watch.MemberWatch] = {}
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
        known = records.records.get(f"member/{renew.name}")
        if not _is_valid(renew) or _is_outdated(renew, known):
            return []
        watch = self._watch(renew.name)
        if renew.capacity > 0:
            self._shares.report(self._clock, renew.name, renew.capacity)
        member = records.member(renew.name)
        is_known = member is not None and member.incarnation == renew.incarnation
        if is_known:
            watch.heard_at = self._clock
        if self._is_pending(watch, known.modified if known is not None else 0):
            return []
        if member is None or not is_known:
            return self._join(renew, watch, known, records)
        return self._renewed_member(renew, watch, member, records)

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
        hold = self._is_mass_silence(members)
        commands: list[command_codec.Command] = []
        for member in members:
            watch = self._watch(member.name)
            if self._is_pending(watch, member.modified):
                continue
            event = self._silence_event(member, watch, hold)
            if event:
                commands += self._move(event, watch, member)
        self._drop_watches(records)
        return commands

    def _advance(self, now: float) -> None:
        self._clock += min(max(now - self._called_at, 0.0), MAX_STEP_SECONDS)
        self._called_at = now

    def _watch(self, name: str) -> member_watch.MemberWatch:
        watch = self._watches.get(name)
        if watch is None:
            watch = member_watch.MemberWatch(heard_at=self._clock)
            self._watches[name] = watch
        return watch

    def _is_pending(self, watch: member_watch.MemberWatch, revision: int) -> bool:
        if watch.pending_since is None:
            return False
        is_applied = revision != watch.pending_revision
        if is_applied or self._clock - watch.pending_since >= PENDING_TIMEOUT_SECONDS:
            watch.pending_since = None
            return False
        return True

    def _propose(
        self,
        command: command_codec.Command,
        watch: member_watch.MemberWatch,
        revision: int,
    ) -> list[command_codec.Command]:
        watch.pending_since = self._clock
        watch.pending_revision = revision
        return [command]

    def _join(
        self,
        renew: renew_message.Renew,
        watch: member_watch.MemberWatch,
        known: object,
        records: table.Table,
    ) -> list[command_codec.Command]:
        if renew.leaving or not self._may_join(watch):
            return []
        share = member_record.MIN_SHARE
        if renew.role is role.Role.AGENT:
            share = self._shares.wanted(renew.name, renew.class_name, records)
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
        watch.joins.append(self._clock)
        watch.heard_at = self._clock
        return self._propose(command, watch, getattr(known, "modified", 0))

    def _renewed_member(
        self,
        renew: renew_message.Renew,
        watch: member_watch.MemberWatch,
        member: member_record.MemberRecord,
        records: table.Table,
    ) -> list[command_codec.Command]:
        event = "leave" if renew.leaving else "drain" if renew.draining else "renew"
        is_return = member.state is member_state.MemberState.LOST
        if is_return and event != "leave" and not self._may_join(watch):
            return []
        moved = self._move(event, watch, member)
        if moved:
            if is_return:
                watch.joins.append(self._clock)
            return moved
        if member.role is not role.Role.AGENT or renew.capacity <= 0:
            return []
        share = self._shares.change(self._clock, member, records)
        if share is None or share == member.share:
            return []
        command = share_changed.ShareChanged(member.name, member.incarnation, share)
        return self._propose(command, watch, member.modified)

    def _move(
        self,
        event: str,
        watch: member_watch.MemberWatch,
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
        return self._propose(command, watch, member.modified)

    def _may_join(self, watch: member_watch.MemberWatch) -> bool:
        recent = [at for at in watch.joins if self._clock - at < _MINUTE]
        watch.joins = recent
        return len(recent) < JOINS_PER_MINUTE

    def _silence_event(
        self,
        member: member_record.MemberRecord,
        watch: member_watch.MemberWatch,
        hold: bool,
    ) -> str:
        if member.state is not member_state.MemberState.LOST:
            watch.lost_at = None
            limit = MASS_HOLD_SECONDS if hold else LOST_SECONDS
            return "fall_silent" if self._clock - watch.heard_at >= limit else ""
        if watch.lost_at is None:
            watch.lost_at = self._clock
        if self._clock - watch.lost_at < KEEP_LOST_SECONDS:
            return ""
        # A member that renews again but joins too often is not removed.
        is_silent = self._clock - watch.heard_at >= LOST_SECONDS
        return "expire" if is_silent else ""

    def _is_mass_silence(self, members: list[member_record.MemberRecord]) -> bool:
        """Return whether most members of several zones are silent at once."""
        total: collections.Counter[str] = collections.Counter()
        silent: collections.Counter[str] = collections.Counter()
        # The margin finds the members that fell silent in the same second but
        # whose last renewals, which are up to 0.55 s apart, came later.
        since = self._clock - (LOST_SECONDS - MASS_WINDOW_SECONDS)
        for member in members:
            if member.state is member_state.MemberState.LOST:
                continue
            total[member.zone] += 1
            if self._watch(member.name).heard_at <= since:
                silent[member.zone] += 1
        zones = [z for z in total if 2 * silent[z] > total[z]]
        if len(zones) < _MIN_SILENT_ZONES or 2 * len(zones) <= len(total):
            return False
        return 2 * silent.total() > total.total()

    def _drop_watches(self, records: table.Table) -> None:
        limit = self._clock - _MINUTE
        gone = [
            name
            for name, watch in self._watches.items()
            if watch.heard_at < limit and records.member(name) is None
        ]
        for name in gone:
            del self._watches[name]
            self._shares.remove(name)


_MIN_SILENT_ZONES = 2


def _is_valid(renew: renew_message.Renew) -> bool:
    """Return whether a renewal names a possible member."""
    if not 1 <= len(renew.name) <= command_codec.MAX_NAME_CHARACTERS:
        return False
    if not 1 <= renew.port <= _MAX_PORT or renew.incarnation < 1:
        return False
    return bool(renew.class_name) == (renew.role is role.Role.AGENT)


def _is_outdated(renew: renew_message.Renew, known: object) -> bool:
    """Return whether the node was replaced or has left."""
    if not isinstance(known, member_record.MemberRecord):
        return False
    if known.removed:
        return renew.incarnation <= known.incarnation
    return renew.incarnation < known.incarnation


_MAX_PORT = 65535
