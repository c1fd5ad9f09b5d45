"""What the releases of the other control instances can hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limpetreel.consensus import member

UNHEARD_SECONDS = 2.0
"""Time for which a leader waits for members that it has not heard. Those that are down
for longer do not hold up a group of which one machine may be lost."""


class MemberFormats:
    """Format of log entries that each other member applies.

    A member of an earlier release drops entries that it does not know, and then
    replaces its log by a snapshot without them. Once it leads, what the group has
    acknowledged is gone, so a leader appends such an entry only when no member is
    known to drop it.

    Parameters
    ----------
    identity : str
        Identity of this instance.
    """

    def __init__(self, identity: str) -> None:
        self._identity = identity
        self._known: dict[str, int] = {}
        self._leads_since: float | None = None

    def record(self, sender: str, log_format: int) -> bool:
        """Record a member's format; return whether it was not known."""
        has_changed = self._known.get(sender) != log_format
        self._known[sender] = log_format
        return has_changed

    def retain(self, members: Iterable[member.Member]) -> None:
        """Forget the formats of all but the members."""
        identities = {m.identity for m in members}
        self._known = {k: v for k, v in self._known.items() if k in identities}

    def record_role(self, now: float, is_leader: bool) -> None:
        """Record whether this instance leads the group.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        is_leader : bool
            Whether it leads from now on.
        """
        if not is_leader:
            self._leads_since = None
        elif self._leads_since is None:
            self._leads_since = now

    def are_lacking(self, members: Iterable[member.Member], log_format: int) -> bool:
        """Return whether a member is known not to apply a format."""
        known = (self._known.get(m.identity, log_format) for m in self._others(members))
        return any(x < log_format for x in known)

    def are_unheard(self, now: float, members: Iterable[member.Member]) -> bool:
        """Return whether the format of a member may become known soon."""
        if self._leads_since is None or now >= self._leads_since + UNHEARD_SECONDS:
            return False
        return any(m.identity not in self._known for m in self._others(members))

    def _others(self, members: Iterable[member.Member]) -> Iterable[member.Member]:
        return (m for m in members if m.identity != self._identity)
