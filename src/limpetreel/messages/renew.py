"""Renewal of a node's membership and lease."""

from __future__ import annotations

import msgspec

from limpetreel.catalog import role
from limpetreel.messages import short_names


class Renew(msgspec.Struct, frozen=True, tag="renew", rename=short_names.SHORT_NAMES):
    """Sent by every node to a control instance twice per second.

    Attributes
    ----------
    name, role, class_name, zone, region, host, port, incarnation
        The node, as in `catalog.member_record.MemberRecord`.
    revision : int
        Revision of the node's table.
    digest : int
        Digest of the node's table.
    capacity : int
        Measured capacity of the upstream in requests per minute; 0 for an entry and
        before the first measurement.
    draining : bool
        True once the node has started to leave.
    leaving : bool
        True in the last renewal, when the node has no work left.
    nonce : int
        Number that the answer repeats, so that the lease counts from this renewal.
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
