"""Base class of the packet formats."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.core import failure
    from limpetreel.streams import segment


class SegmentCodec(abc.ABC):
    """Reads and writes packets of flows.

    Its attribute `max_data_bytes` is the size of the data in a full packet.
    """

    max_data_bytes: int

    @abc.abstractmethod
    def from_caller(self, data: bytes) -> segment.Segment | failure.Failure:
        """Return a packet that a caller sent, or that an upstream returned."""

    @abc.abstractmethod
    def from_upstream(self, data: bytes) -> segment.Segment | failure.Failure:
        """Return a packet that an upstream sent."""

    @abc.abstractmethod
    def reset(self, flow: bytes, sequence: int) -> bytes:
        """Return a packet that informs the caller that its flow is refused.

        Parameters
        ----------
        flow : bytes
            Key of the flow.
        sequence : int
            The last number that the caller acknowledged; any if the flow is not
            open.
        """
