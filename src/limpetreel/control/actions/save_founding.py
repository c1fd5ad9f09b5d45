"""Action that makes the founding record durable."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import founding_record


class SaveFounding(msgspec.Struct, frozen=True, tag="save_founding"):
    """Write the founding record durably before any later action, as with `Persist`.

    Attributes
    ----------
    record : FoundingRecord
        The whole record.
    """

    record: founding_record.FoundingRecord
