"""Identity of a node."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import role


class NodeIdentity(msgspec.Struct, frozen=True):
    """Fields of a renewal that stay the same while the node runs.

    Attributes
    ----------
    name, role, class_name, zone, region, host, port, incarnation
        The node, as in `member_record.MemberRecord`.
    """

    name: str
    role: role.Role
    class_name: str
    zone: str
    region: str
    host: str
    port: int
    incarnation: int
