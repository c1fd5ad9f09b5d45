"""Whether a node may carry packets at a given time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.catalog import table

LEASE_SECONDS = 2.0
"""With 1 s allowed for datagrams in transit, a zone sends nothing 3 s after removal."""

EVIDENCE_SECONDS = 2.0
MIN_ZONES = 2


class ServingRight:
    """Serving right of one node: a control lease or zone evidence.

    Parameters
    ----------
    zone : str
        Zone of the node.
    region : str
        Region of the node.
    """

    def __init__(self, zone: str, region: str) -> None:
        self._zone = zone
        self._region = region
        self._lease_until = float("-inf")
        self._granted_until = float("-inf")
        self._zone_contacts: dict[str, float] = {}

    def renew(self, sent_at: float, lease_ms: int) -> None:
        """Record a lease that control granted for a renewal.

        Parameters
        ----------
        sent_at : float
            When this node sent the renewal, in seconds. Counting from there
            keeps the lease safe whatever the delay of the answer.
        lease_ms : int
            Length of the lease in milliseconds.
        """
        if lease_ms > 0:
            seconds = min(lease_ms / 1000, LEASE_SECONDS)
            self._lease_until = max(self._lease_until, sent_at + seconds)
            self._granted_until = max(self._granted_until, sent_at + seconds)

    def adopt_lease(self, now: float, lease_ms: int) -> None:
        """Adopt the remaining lease of a peer that sent a frame.

        The caller has checked that its own table is not older than the peer's, so
        that it knows every change that the lease takes into account.
        """
        if lease_ms > 0:
            seconds = min(lease_ms / 1000, LEASE_SECONDS)
            self._lease_until = max(self._lease_until, now + seconds)

    def record_zone_contact(self, probe_sent_at: float, zone: str) -> None:
        """Record that a node of another zone answered a probe."""
        last_contact = self._zone_contacts.get(zone, float("-inf"))
        self._zone_contacts[zone] = max(last_contact, probe_sent_at)

    @property
    def lease_until(self) -> float:
        """End of the lease in seconds on the node's clock."""
        return self._lease_until

    def lease_ms(self, now: float) -> int:
        """Return the remaining lease in milliseconds, 0 if it has ended."""
        return int(max(0.0, self._lease_until - now) * 1000)

    def has_own_lease(self, now: float) -> bool:
        """Return whether control granted a lease to this node itself.

        An adopted lease shows that the node's zone serves, but not that the node
        has not been replaced.
        """
        return self._granted_until > now

    def has_evidence(self, now: float, records: table.Table) -> bool:
        """Return whether a majority of the region's zones is in contact."""
        zones = [z.name for z in records.zones() if z.region == self._region]
        # With one zone, a cut-off node cannot be distinguished from a cut-off region.
        if self._zone not in zones or len(zones) < MIN_ZONES:
            return False
        limit = now - EVIDENCE_SECONDS
        contacted = [z for z in zones if self._zone_contacts.get(z, limit) > limit]
        in_contact = len(set(contacted) | {self._zone})
        return 2 * in_contact > len(zones)

    def may_forward(self, now: float, records: table.Table) -> bool:
        """Return whether an entry may forward packets to agents.

        The fabric may continue to use an entry whose zone has been taken out. Such an
        entry forwards packets to other zones while it holds a lease, since to drop
        them would cost callers their requests.
        """
        return self._lease_until > now or self.may_serve(now, records)

    def may_serve(self, now: float, records: table.Table) -> bool:
        """Return whether the node may carry packets.

        A node whose own zone has been taken out never may.
        """
        if not records.is_zone_serving(self._zone):
            return False
        return self._lease_until > now or self.has_evidence(now, records)
