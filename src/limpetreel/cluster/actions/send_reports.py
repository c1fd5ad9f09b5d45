"""Reports for another control instance."""

from __future__ import annotations

import msgspec


class SendReports(msgspec.Struct, frozen=True):
    """Send several reports at once, so that the peer wakes up once for all of them.

    Attributes
    ----------
    address : str
        Address of the instance.
    messages : tuple of bytes
        The encoded reports.
    """

    address: str
    messages: tuple[bytes, ...]
