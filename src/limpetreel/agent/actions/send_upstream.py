"""Send a datagram to the upstream."""

from __future__ import annotations

import msgspec

from limpetreel.wire import address


class SendUpstream(msgspec.Struct, frozen=True, tag="send_upstream"):
    """Send a datagram on the upstream socket of a flow, opening it if necessary.

    Attributes
    ----------
    caller : Address
        Caller of the flow.
    datagram : bytes
        Content of the datagram.
    """

    caller: address.Address
    datagram: bytes
