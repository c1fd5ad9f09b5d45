"""Close the upstream socket of a flow."""

from __future__ import annotations

import msgspec

from limpetreel.wire import address


class CloseFlow(msgspec.Struct, frozen=True, tag="close_flow"):
    """Close the upstream socket; the next datagram of the flow opens a new one.

    Attributes
    ----------
    caller : Address
        Caller of the flow.
    """

    caller: address.Address
