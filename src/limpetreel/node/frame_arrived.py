"""A frame from another process of the system."""

from __future__ import annotations

import msgspec

from limpetreel.wire import address, frame


class FrameArrived(msgspec.Struct, frozen=True, tag="frame_arrived"):
    """A frame that passed the checks of the frame codec.

    Attributes
    ----------
    source : Address
        Address that the frame came from.
    frame : Frame
        The decoded frame.
    """

    source: address.Address
    frame: frame.Frame
