"""Send a datagram to the upstream."""

from __future__ import annotations

import msgspec

from limpetreel.wire import address


class SendUpstream(msgspec.Struct, frozen=True, tag="send_upstream"):
    """A datagram for the upstream socket of a flow, which is opened if need be.

    Attributes
    ----------
    caller : Address
        Caller of the flow.
    datagram : bytes
        Content.
    """

    caller: address.Address
    datagram: bytes
