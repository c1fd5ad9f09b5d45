"""Answer to a renewal."""

from __future__ import annotations

import msgspec

from limpetreel.messages import short_names


class Lease(msgspec.Struct, frozen=True, tag="lease", rename=short_names.SHORT_NAMES):
    """Serving lease of a node.

    Attributes
    ----------
    nonce : int
        Nonce of the renewal.
    lease_ms : int
        Duration of the lease, counted from the sending of the renewal; 0 if the
        control instance has no quorum.
    revision : int
        Revision of the control instance's table.
    digest : int
        Digest of the node's scope of the control instance's table.
    incarnation : int
        Highest incarnation known for the node's name. A node whose incarnation is
        lower takes a new, higher one.
    """

    nonce: int
    lease_ms: int
    revision: int
    digest: int
    incarnation: int
