"""Identity of an entry or agent."""

from __future__ import annotations

import msgspec
import xxhash

from limpetreel.catalog import role


class Identity(msgspec.Struct, frozen=True):
    """Who a node is, from its settings and its start time.

    Attributes
    ----------
    name, role, class_name, zone, region, host, port, incarnation
        As in `catalog.member_record.MemberRecord`.
    """

    name: str
    role: role.Role
    class_name: str
    zone: str
    region: str
    host: str
    port: int
    incarnation: int

    @property
    def node_id(self) -> int:
        """64-bit hash of the name."""
        return xxhash.xxh64_intdigest(self.name.encode())
