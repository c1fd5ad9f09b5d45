"""Changes of the table between two revisions."""

from __future__ import annotations

import msgspec

from limpetreel.messages import short_names


class Delta(msgspec.Struct, frozen=True, tag="delta", rename=short_names.SHORT_NAMES):
    """One part of the records that changed between two revisions.

    Attributes
    ----------
    from_revision : int
        The part contains records changed after this revision; 0 for the whole table.
    to_revision : int
        Revision of the receiver's table after all parts are applied.
    digest : int
        Digest of the receiver's scope at `to_revision`.
    part : int
        Number of this part, from 0.
    parts : int
        Number of parts.
    body : bytes
        This part of the compressed records, see `catalog.delta_body`.
    """

    from_revision: int
    to_revision: int
    digest: int
    part: int
    parts: int
    body: bytes
