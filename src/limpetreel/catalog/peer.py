"""Process that a message came from."""

from __future__ import annotations

import msgspec

from limpetreel.wire import address


class Peer(msgspec.Struct, frozen=True):
    """Address and incarnation of another process.

    Attributes
    ----------
    address : Address
        Where its frames come from.
    incarnation : int
        Its incarnation, from the frame; `frame.ANY_INCARNATION` if not known.
    """

    address: address.Address
    incarnation: int = 0
