"""A datagram from the upstream."""

from __future__ import annotations

import msgspec

from limpetreel.wire import address


class UpstreamDatagram(msgspec.Struct, frozen=True, tag="upstream_datagram"):
    """A datagram that arrived on the upstream socket of a flow.

    Attributes
    ----------
    caller : Address
        Caller of the flow.
    datagram : bytes
        Content of the datagram.
    """

    caller: address.Address
    datagram: bytes
