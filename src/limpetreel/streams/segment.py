"""Packet of a flow."""

from __future__ import annotations

import msgspec


class Segment(msgspec.Struct, frozen=True, gc=False):
    """Header fields that forwarding needs, and the unchanged bytes.

    Attributes
    ----------
    flow : bytes
        Identifies the flow in both directions, see `stream_key`.
    is_open : bool
        Whether the caller asks to open the flow.
    is_open_reply : bool
        Whether the upstream accepts the flow.
    is_ack, is_fin, is_reset : bool
        Flags of the transport protocol.
    is_returned : bool
        Whether an upstream returned a packet that it cannot accept.
    sequence : int
        First sequence number of the data.
    ack : int
        Next sequence number that is expected from the other end.
    size : int
        Bytes of data.
    data : bytes
        The whole packet.
    """

    flow: bytes
    is_open: bool
    is_open_reply: bool
    is_ack: bool
    is_fin: bool
    is_reset: bool
    is_returned: bool
    sequence: int
    ack: int
    size: int
    data: bytes

    @property
    def is_open_copy(self) -> bool:
        """Return whether it repeats an opening packet, which another node may have got.

        The acknowledgement number of an opening packet counts the earlier ones.
        """
        return self.is_open and self.ack > 0
