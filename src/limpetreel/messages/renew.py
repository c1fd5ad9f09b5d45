"""Renewal of a node's membership and lease."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import role
from limpetreel.messages import short_names


class Renew(msgspec.Struct, frozen=True, tag="renew", rename=short_names.SHORT_NAMES):
    """Sent by every node to a control instance twice a second.

    Attributes
    ----------
    name, role, class_name, zone, region, host, port, incarnation
        The node, as in `catalog.member_record.MemberRecord`.
    revision : int
        Revision of the node's table.
    digest : int
        Digest of the node's table.
    capacity : int
        Requests a minute that the upstream bears, as measured; 0 for an entry and
        until something has been measured.
    draining : bool
        True once the node has begun to leave.
    leaving : bool
        True in the last renewal, when the node has no work left.
    nonce : int
        Echoed in the answer, so that the lease counts from this renewal.
    """

    name: str
    role: role.Role
    class_name: str
    zone: str
    region: str
    host: str
    port: int
    incarnation: int
    revision: int
    digest: int
    capacity: int
    draining: bool
    leaving: bool
    nonce: int
