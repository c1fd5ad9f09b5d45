"""Identity of a flow."""

from __future__ import annotations

import struct

import msgspec
import xxhash

from limpetreel.assignment import class_assignment
from limpetreel.wire import address

_PACKED = struct.Struct("!IHI")


class FlowKey(msgspec.Struct, frozen=True, array_like=True):
    """Caller address and class of a flow.

    Attributes
    ----------
    class_id : int
        Number of the class.
    caller : Address
        Address of the caller.
    """

    class_id: int
    caller: address.Address

    def hash64(self) -> int:
        """Return the 64-bit hash, equal on all nodes."""
        return flow_hash(self.class_id, self.caller)

    def bucket(self) -> int:
        """Return the bucket of the flow."""
        return self.hash64() % class_assignment.BUCKETS_PER_CLASS


def flow_hash(class_id: int, caller: address.Address) -> int:
    """Return the 64-bit hash of a flow; entries and agents must agree on it.

    Parameters
    ----------
    class_id : int
        Number of the class.
    caller : Address
        Address of the caller.
    """
    return xxhash.xxh64_intdigest(_PACKED.pack(caller.ip, caller.port, class_id))
